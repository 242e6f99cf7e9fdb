#include "Answer.h"
#include "Commands.h"
#include "cli/Command.h"
#include "cli/Context.h"
#include "cli/Values.h"
#include "report/BurnReport.h"

#include <map>

namespace bergamotweir::cli {

namespace {

/** Limits the delay that an unresponsive agent adds to the report. */
constexpr std::chrono::milliseconds AgentTimeout{1000};

/** @return operator address by agent, once for an agent with several upstreams */
std::map<std::string, std::string> operatorAddresses(const wire::StatusReport &report)
{
    std::map<std::string, std::string> addresses;
    for (const wire::UpstreamStatus &upstream : report.upstreams()) {
        if (!upstream.upstream().operator_address().empty()) {
            addresses[upstream.upstream().agent()] = upstream.upstream().operator_address();
        }
    }
    return addresses;
}

report::BurnReport collectBurnReports(const std::map<std::string, std::string> &addresses, Context &context)
{
    report::BurnReport merged;
    merged.agents = 0;
    std::vector<std::string> urls;
    urls.reserve(addresses.size());
    for (const auto &[agent, address] : addresses) {
        urls.push_back("http://" + address + "/burn?json");
    }
    const std::vector<Result<std::string>> documents = context.fetchAll(urls, AgentTimeout);
    std::size_t index = 0;
    for (const auto &[agent, address] : addresses) {
        const Result<std::string> &document = documents[index++];
        const Result<report::BurnReport> agentReport =
            document ? report::fromJson(document.value()) : Result<report::BurnReport>(document.error());
        if (agentReport) {
            report::merge(merged, agentReport.value());
            continue;
        }
        std::string missing = agent;
        missing.append(" at ").append(address).append(" (").append(agentReport.error().front().message).append(")");
        merged.unreachable.push_back(std::move(missing));
    }
    return merged;
}

} // namespace

int runReportBurn(const Values &values, Context &context)
{
    wire::OperatorRequest request;
    request.mutable_get_status();
    const wire::OperatorReply reply = sendRequest(request, values, context);
    Answer answer = toAnswer(reply);
    if (answer.exitCode != ExitDone) {
        return print(answer, values, context);
    }
    const report::BurnReport report = collectBurnReports(operatorAddresses(reply.report()), context);
    answer.details = nlohmann::json::parse(report::toJson(report));
    answer.text = report::toText(report);
    return print(answer, values, context);
}

} // namespace bergamotweir::cli
