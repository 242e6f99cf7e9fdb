#include "Answer.h"
#include "Commands.h"
#include "cli/Command.h"
#include "cli/Context.h"
#include "cli/Values.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <ostream>
#include <set>

namespace bergamotweir::cli {

namespace {

using nlohmann::json;

/** Length in bytes from which on a line is no log line of this program. */
constexpr std::size_t MaxLineBytes = 65536;
/** Maximum number of lines kept of each kind; a request logs a few lines in each process. */
constexpr std::size_t MaxKeptLines = 5000;
/**
 * Length of the prefix of a time that ends with its seconds. Lines about the state of a process are shown from the
 * second of the request's first line on; times are compared as text.
 */
constexpr std::size_t SecondPrefixLength = 19;

/** One relevant line of a log, with its file and line number. */
struct LogLine {
    std::string place;
    json line;
};

/** Lines of a trace, with findings about files and lines that could not be read. */
struct TraceLines {
    std::vector<LogLine> request;
    std::vector<LogLine> stateLines;
    Findings findings;
    std::uint64_t suppressed = 0;
};

/**
 * Calls @p onLine for each line of a file, with an empty string for a line that is too long.
 * @return false if the file can't be opened
 */
bool forEachLine(const std::string &path, const std::function<void(std::uint64_t, const std::string &)> &onLine)
{
    std::ifstream file(path);
    if (!file) {
        return false;
    }
    std::string line;
    std::uint64_t number = 0;
    for (char character = 0; file.get(character);) {
        if (character == '\n') {
            onLine(++number, line.size() >= MaxLineBytes ? std::string() : line);
            line.clear();
        } else if (line.size() < MaxLineBytes) {
            line += character;
        }
    }
    if (!line.empty()) {
        onLine(++number, line);
    }
    return true;
}

/** @return the JSON object in a line, after any prefix that a log collector added; null if the line is no log line */
json parseLogObject(const std::string &line)
{
    const std::size_t begin = line.find('{');
    if (begin == std::string::npos) {
        return {};
    }
    json object = json::parse(line.begin() + static_cast<std::ptrdiff_t>(begin), line.end(), nullptr, false);
    return object.is_object() && object.contains("time") && object.contains("process") ? object : json();
}

/** @return whether a name is the id of the request or of one of its attempts at another agent */
bool isRequestOrAttempt(const std::string &name, const std::string &id)
{
    return name == id || (name.starts_with(id) && name[id.size()] == '.');
}

void readRequestLines(const std::vector<std::string> &files, const std::string &id, TraceLines &traced)
{
    for (const std::string &path : files) {
        const bool isRead = forEachLine(path, [&](std::uint64_t number, const std::string &line) {
            const std::string place = path + ":" + std::to_string(number);
            if (line.find(id) == std::string::npos) {
                return;
            }
            json object = parseLogObject(line);
            if (object.is_null()) {
                traced.findings.push_back({place, "names the request but is no whole line of a log", {}});
                return;
            }
            traced.suppressed += object.value("left_out", 0U) + object.value("lines_lost", 0U);
            if (isRequestOrAttempt(object.value("request", ""), id) && traced.request.size() < MaxKeptLines) {
                traced.request.push_back({place, std::move(object)});
            }
        });
        if (!isRead) {
            traced.findings.push_back({path, "can't be read", {}});
        }
    }
}

/**
 * Reads the lines about no request that the same processes logged from the second of the request's first line up to its
 * last line.
 */
void readStateLines(const std::vector<std::string> &files, TraceLines &traced)
{
    std::set<std::string> processes;
    std::string first = "9";
    std::string last;
    for (const LogLine &entry : traced.request) {
        processes.insert(entry.line["process"].get<std::string>());
        first = std::min(first, entry.line["time"].get<std::string>());
        last = std::max(last, entry.line["time"].get<std::string>());
    }
    for (const std::string &path : files) {
        forEachLine(path, [&](std::uint64_t number, const std::string &line) {
            const json object = parseLogObject(line);
            if (object.is_null() || object.contains("request") || !processes.contains(object["process"])) {
                return;
            }
            const std::string time = object["time"];
            const bool isDuringRequest =
                time.substr(0, SecondPrefixLength) >= first.substr(0, SecondPrefixLength) && time <= last;
            if (isDuringRequest && traced.stateLines.size() < MaxKeptLines) {
                traced.stateLines.push_back({path + ":" + std::to_string(number), object});
            }
        });
    }
}

std::string fieldsOf(const json &line)
{
    static const std::set<std::string> printedSeparately{"time", "level", "process", "part", "event", "message"};
    std::string text;
    for (const auto &[name, value] : line.items()) {
        if (!printedSeparately.contains(name)) {
            text += " " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return text;
}

void printLine(std::ostream &out, const LogLine &entry)
{
    const json &line = entry.line;
    out << line["time"].get<std::string>() << " " << line["process"].get<std::string>() << " "
        << (line.contains("request") ? "" : "(belief) ") << line.value("event", "") << " " << line.value("message", "")
        << fieldsOf(line) << "\n";
}

} // namespace

int runTrace(const Values &values, Context &context)
{
    const std::string id = values.arguments().front();
    const std::vector<std::string> files(values.arguments().begin() + 1, values.arguments().end());
    TraceLines traced;
    readRequestLines(files, id, traced);
    readStateLines(files, traced);
    std::vector<LogLine> all = traced.request;
    all.insert(all.end(), traced.stateLines.begin(), traced.stateLines.end());
    std::stable_sort(all.begin(), all.end(), [](const LogLine &left, const LogLine &right) {
        return left.line["time"].get<std::string>() < right.line["time"].get<std::string>();
    });
    context.err << toText(traced.findings);
    if (values.isOn("json")) {
        json lines = json::array();
        for (const LogLine &entry : all) {
            lines.push_back(entry.line);
            lines.back()["place"] = entry.place;
        }
        context.out << json{{"request", id}, {"lines", lines}, {"left_out", traced.suppressed}}.dump(2) << "\n";
    } else {
        for (const LogLine &entry : all) {
            printLine(context.out, entry);
        }
        if (traced.suppressed > 0) {
            context.out << traced.suppressed
                        << " lines were left out where these were written: the way may have gaps\n";
        }
    }
    if (traced.request.empty()) {
        context.err << "no line names the request " << id
                    << ": it came to none of these processes, or its lines were left out\n";
        return ExitRefused;
    }
    return ExitDone;
}

} // namespace bergamotweir::cli
