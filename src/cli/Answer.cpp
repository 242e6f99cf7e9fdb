#include "Answer.h"

#include "cli/Command.h"
#include "cli/Context.h"
#include "cli/ValueKinds.h"
#include "cli/Values.h"

#include <ostream>

namespace bergamotweir::cli {

namespace {

const char *statusName(int exitCode)
{
    switch (exitCode) {
    case ExitDone:
        return "done";
    case ExitBadInput:
        return "bad input";
    case ExitConflict:
        return "conflict";
    case ExitUnknown:
        return "unknown";
    default:
        return "refused";
    }
}

int toExitCode(wire::OperatorStatus status)
{
    switch (status) {
    case wire::OPERATOR_STATUS_DONE:
        return ExitDone;
    case wire::OPERATOR_STATUS_BAD_INPUT:
        return ExitBadInput;
    case wire::OPERATOR_STATUS_CONFLICT:
        return ExitConflict;
    case wire::OPERATOR_STATUS_UNKNOWN:
        return ExitUnknown;
    default:
        return ExitRefused;
    }
}

} // namespace

int print(const Answer &answer, const Values &values, Context &context)
{
    if (!values.isOn("json")) {
        context.out << answer.text;
        context.err << toText(answer.findings);
        return answer.exitCode;
    }
    nlohmann::json json = answer.details;
    json["status"] = statusName(answer.exitCode);
    json["exit_code"] = answer.exitCode;
    json["findings"] = nlohmann::json::array();
    for (const Finding &finding : answer.findings) {
        json["findings"].push_back(
            {{"place", finding.place}, {"message", finding.message}, {"remedy", finding.remedy}});
    }
    // Replaces invalid UTF-8, which a reply's text may contain: dump() would throw on it and end the program.
    context.out << json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    return answer.exitCode;
}

int printFailure(int exitCode, Findings findings, const Values &values, Context &context)
{
    Answer answer;
    answer.exitCode = exitCode;
    answer.findings = std::move(findings);
    return print(answer, values, context);
}

Setting jsonSetting()
{
    return {"json", nullptr, "Print one JSON object."};
}

std::vector<Setting> requestSettings()
{
    return {
        {"control", &EndpointsKind, "Control endpoints of the control replicas.", true},
        {"timeout", &SecondsKind, "How long to try.", false, "10"},
        jsonSetting(),
    };
}

std::vector<Setting> changeSettings()
{
    std::vector<Setting> settings = requestSettings();
    settings.push_back({"change-id",
                        &NameKind,
                        "Names the change: sent again under the same id it is made once. Printed when not given."});
    settings.push_back({"author", &NameKind, "Who makes the change; the login name when not given."});
    settings.push_back({"wait", &SecondsKind, "Wait until every agent has it in force.", false, "0"});
    settings.push_back({"even-if-last", nullptr, "Go on where it takes out the last upstream of a service."});
    return settings;
}

wire::OperatorReply sendRequest(const wire::OperatorRequest &request, const Values &values, Context &context)
{
    return context.operate(values.list("control"), request, values.seconds("timeout"));
}

Answer toAnswer(const wire::OperatorReply &reply)
{
    Answer answer;
    answer.exitCode = toExitCode(reply.status());
    for (const wire::FindingText &finding : reply.findings()) {
        answer.findings.push_back({finding.place(), finding.message(), finding.remedy()});
    }
    if (reply.has_version()) {
        answer.details["version"] = {{"term", reply.version().term()}, {"index", reply.version().index()}};
    }
    if (reply.table_version() > 0) {
        answer.details["table_version"] = reply.table_version();
    }
    return answer;
}

} // namespace bergamotweir::cli
