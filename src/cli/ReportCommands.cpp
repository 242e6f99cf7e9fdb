#include "Answer.h"
#include "Commands.h"
#include "cli/Command.h"
#include "cli/Context.h"
#include "cli/Values.h"
#include "report/BurnReport.h"

#include <map>

namespace bergamotweir::cli {

namespace {

/** An agent that doesn't answer must not hold up the report of the others. */
constexpr std::chrono::milliseconds AgentTimeout{1000};

/** @return operator address by agent; an agent may stand beside several upstreams */
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

report::BurnReport collect(const std::map<std::string, std::string> &addresses, Context &context)
{
    report::BurnReport all;
    all.agents = 0;
    std::vector<std::string> urls;
    urls.reserve(addresses.size());
    for (const auto &[agent, address] : addresses) {
        urls.push_back("http://" + address + "/burn?json");
    }
    const std::vector<Result<std::string>> documents = context.fetchAll(urls, AgentTimeout);
    std::size_t next = 0;
    for (const auto &[agent, address] : addresses) {
        const Result<std::string> &document = documents[next++];
        const Result<report::BurnReport> one =
            document ? report::fromJson(document.value()) : Result<report::BurnReport>(document.error());
        if (one) {
            report::merge(all, one.value());
            continue;
        }
        std::string missing = agent;
        missing.append(" at ").append(address).append(" (").append(one.error().front().message).append(")");
        all.unreachable.push_back(std::move(missing));
    }
    return all;
}

} // namespace

int runReportBurn(const Values &values, Context &context)
{
    wire::OperatorRequest request;
    request.mutable_get_status();
    const wire::OperatorReply reply = ask(request, values, context);
    Answer answer = toAnswer(reply);
    if (answer.exitCode != ExitDone) {
        return print(answer, values, context);
    }
    const report::BurnReport report = collect(operatorAddresses(reply.report()), context);
    answer.details = nlohmann::json::parse(report::toJson(report));
    answer.text = report::toText(report);
    return print(answer, values, context);
}

} // namespace bergamotweir::cli
