#include "Change.h"

#include "cli/Command.h"
#include "cli/Context.h"
#include "cli/Values.h"

#include <algorithm>

namespace bergamotweir::cli {

namespace {

constexpr std::chrono::milliseconds PollInterval{100};

std::string joinNames(const google::protobuf::RepeatedPtrField<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text;
}

std::string versionText(const wire::Version &version)
{
    return std::to_string(version.term()) + "/" + std::to_string(version.index());
}

/** Polls until every agent has a version in force or the time of --wait has passed. @return the last report */
wire::InForceReport awaitInForce(const wire::Version &version, const Values &values, Context &context)
{
    wire::OperatorRequest request;
    *request.mutable_get_in_force()->mutable_version() = version;
    const auto deadline = context.wallClock() + values.seconds("wait");
    wire::InForceReport report;
    while (true) {
        const wire::OperatorReply reply = sendRequest(request, values, context);
        if (reply.status() == wire::OPERATOR_STATUS_DONE) {
            report = reply.in_force();
            if (report.missing().empty()) {
                return report;
            }
        }
        if (context.wallClock() >= deadline) {
            if (reply.status() != wire::OPERATOR_STATUS_DONE && report.missing().empty()) {
                report.add_missing("(the control group doesn't answer)");
            }
            return report;
        }
        context.sleep(PollInterval);
    }
}

void addInForceReport(const wire::InForceReport &report, const Values &values, Answer &answer)
{
    answer.details["in_force"] = {{"confirmed", report.confirmed()}, {"missing", report.missing()}};
    answer.text += "in force: " + std::to_string(report.confirmed_size()) + " agents\n";
    if (report.missing().empty()) {
        return;
    }
    answer.exitCode = ExitUnknown;
    answer.findings.push_back({"agents " + joinNames(report.missing()),
                               "don't have it in force after " + values.text("wait")
                                   + " s; it is committed, and they "
                                     "take it when they reach the control group",
                               {}});
}

} // namespace

Result<CurrentState> readCurrentState(const Values &values, Context &context)
{
    wire::OperatorRequest request;
    request.mutable_get_table();
    const wire::OperatorReply table = sendRequest(request, values, context);
    request.mutable_get_status();
    const wire::OperatorReply status =
        table.status() == wire::OPERATOR_STATUS_DONE ? sendRequest(request, values, context) : table;
    if (status.status() != wire::OPERATOR_STATUS_DONE) {
        Findings findings = toAnswer(status).findings;
        findings.push_back({"change", "nothing was changed: what is in force could not be read", {}});
        return findings;
    }
    CurrentState currentState;
    currentState.tableVersion = table.table_version();
    if (!table.csv().empty()) {
        Result<table::Table> parsed = table::Table::parse(table.csv());
        if (!parsed) {
            return std::move(parsed).error();
        }
        currentState.table = std::move(parsed).value();
    }
    const wire::StatusReport &report = status.report();
    currentState.marks.failureDomainsOut = {report.failure_domains_out().begin(), report.failure_domains_out().end()};
    currentState.marks.upstreamsOut = {report.upstreams_out().begin(), report.upstreams_out().end()};
    for (const wire::UpstreamStatus &upstream : report.upstreams()) {
        const wire::UpstreamInfo &info = upstream.upstream();
        currentState.upstreams.push_back({info.service(), info.failure_domain(), info.name()});
    }
    return currentState;
}

ChangeMetadata makeChangeMetadata(const Values &values, Context &context)
{
    const std::string author = values.text("author");
    return {
        .changeId = values.isSet("change-id") ? values.text("change-id") : context.newChangeId(),
        .author = author.empty() ? context.environment("USER").value_or("operator") : author,
        .time = std::chrono::time_point_cast<std::chrono::milliseconds>(context.wallClock()),
    };
}

Answer
submitChange(const wire::OperatorRequest &request, const std::string &changeId, const Values &values, Context &context)
{
    const wire::OperatorReply reply = sendRequest(request, values, context);
    Answer answer = toAnswer(reply);
    answer.details["change_id"] = changeId;
    if (answer.exitCode == ExitUnknown) {
        answer.findings.push_back({"change " + changeId,
                                   "it is not known whether it was made; sending it again makes it once",
                                   "the same command with --change-id " + changeId});
    }
    if (answer.exitCode != ExitDone) {
        return answer;
    }
    answer.text = "committed: table version " + std::to_string(reply.table_version()) + " at "
                  + versionText(reply.version()) + ", change " + changeId + "\n";
    if (values.number("wait") > 0) {
        addInForceReport(awaitInForce(reply.version(), values, context), values, answer);
    }
    return answer;
}

} // namespace bergamotweir::cli
