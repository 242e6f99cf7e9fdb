#include "Answer.h"
#include "Change.h"
#include "Commands.h"
#include "cli/Command.h"
#include "cli/Context.h"
#include "cli/Values.h"
#include "table/RowDifference.h"

#include <ctime>
#include <iomanip>
#include <sstream>

namespace bergamotweir::cli {

namespace {

struct TableFile {
    std::string csv;
    table::Table table;
};

Result<TableFile> readTableFile(const std::string &path, Context &context)
{
    Result<std::string> csv = context.readFile(path);
    if (!csv) {
        return std::move(csv).error();
    }
    Result<table::Table> table = table::Table::parse(csv.value());
    if (!table) {
        return std::move(table).error();
    }
    return TableFile{std::move(csv).value(), std::move(table).value()};
}

nlohmann::json toJson(const std::vector<table::RowDifference> &differences)
{
    nlohmann::json json = nlohmann::json::array();
    for (const table::RowDifference &difference : differences) {
        json.push_back(table::toText(difference));
    }
    return json;
}

/** Maximum number of changes that the control group keeps to recognise a resend. */
constexpr std::uint32_t MaxChangesKept = 10000;

/**
 * Returns the base version of a change, also if the change repeats an earlier attempt.
 * After a lost answer the operator sends the change again with "--base current". The first attempt has made a new
 * version current, so the resend would name a different base and be refused as a different change under the same id.
 * The history holds the version that the first attempt created; its base is the version before it.
 */
std::uint64_t baseVersion(const CurrentState &current, const Values &values, Context &context)
{
    if (values.text("base") != "current") {
        return values.number("base");
    }
    if (!values.isSet("change-id")) {
        return current.tableVersion;
    }
    wire::OperatorRequest request;
    request.mutable_get_history()->set_most(MaxChangesKept);
    const wire::OperatorReply reply = sendRequest(request, values, context);
    for (const wire::HistoryEntry &entry : reply.history()) {
        if (entry.change_id() == values.text("change-id") && entry.table_version() > 0) {
            return entry.table_version() - 1;
        }
    }
    return current.tableVersion;
}

std::string utc(UnixTime time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%d %H:%M:%SZ");
    return text.str();
}

} // namespace

int runTableCheck(const Values &values, Context &context)
{
    const Result<TableFile> file = readTableFile(values.arguments().front(), context);
    if (!file) {
        return printFailure(ExitBadInput, file.error(), values, context);
    }
    const table::Table &table = file.value().table;
    Answer answer;
    answer.details = {{"rows", table.rows().size()}, {"services", table.services()}};
    answer.text = "good: " + std::to_string(table.rows().size()) + " rows, " + std::to_string(table.services().size())
                  + " services\n";
    return print(answer, values, context);
}

int runTableGet(const Values &values, Context &context)
{
    wire::OperatorRequest request;
    request.mutable_get_table()->set_table_version(values.number("version"));
    const wire::OperatorReply reply = sendRequest(request, values, context);
    Answer answer = toAnswer(reply);
    if (answer.exitCode == ExitDone) {
        answer.details["csv"] = reply.csv();
        answer.details["table_version"] = reply.table_version();
        // The version is a comment, so that the output can be edited and passed to "table put".
        answer.text = "# table version " + std::to_string(reply.table_version()) + "\n" + reply.csv();
    }
    return print(answer, values, context);
}

int runTablePut(const Values &values, Context &context)
{
    const Result<TableFile> file = readTableFile(values.arguments().front(), context);
    if (!file) {
        return printFailure(ExitBadInput, file.error(), values, context);
    }
    const Result<CurrentState> currentState = readCurrentState(values, context);
    if (!currentState) {
        return printFailure(ExitRefused, currentState.error(), values, context);
    }
    const CurrentState &current = currentState.value();
    const table::Table &next = file.value().table;
    const Findings warnings = table::warnings(current.table, current.marks, next, current.marks, current.upstreams);
    if (!warnings.empty() && !values.isOn("even-if-last")) {
        return printFailure(ExitRefused, warnings, values, context);
    }
    const ChangeMetadata change = makeChangeMetadata(values, context);
    wire::OperatorRequest request;
    wire::PutTable &put = *request.mutable_put_table();
    put.set_change_id(change.changeId);
    put.set_base_version(baseVersion(current, values, context));
    put.set_csv(file.value().csv);
    put.set_author(change.author);
    put.set_unix_ms(toUnixMillis(change.time));
    Answer answer = submitChange(request, change.changeId, values, context);
    const std::vector<table::RowDifference> changed = table::differences(current.table, next);
    answer.details["differences"] = toJson(changed);
    if (!answer.text.empty()) {
        answer.text += "rows changed: " + std::to_string(changed.size()) + "\n";
    }
    return print(answer, values, context);
}

int runTableHistory(const Values &values, Context &context)
{
    wire::OperatorRequest request;
    request.mutable_get_history()->set_most(static_cast<std::uint32_t>(values.number("most")));
    const wire::OperatorReply reply = sendRequest(request, values, context);
    Answer answer = toAnswer(reply);
    answer.details["history"] = nlohmann::json::array();
    for (const wire::HistoryEntry &entry : reply.history()) {
        answer.details["history"].push_back({{"table_version", entry.table_version()},
                                             {"change_id", entry.change_id()},
                                             {"author", entry.author()},
                                             {"unix_ms", entry.unix_ms()},
                                             {"what", entry.what()}});
        answer.text += std::to_string(entry.table_version()) + "  " + utc(fromUnixMillis(entry.unix_ms())) + "  "
                       + entry.author() + "  " + entry.change_id() + "  " + entry.what() + "\n";
    }
    return print(answer, values, context);
}

} // namespace bergamotweir::cli
