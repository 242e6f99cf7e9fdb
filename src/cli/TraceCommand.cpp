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

/** Longer lines are no log lines of ours. */
constexpr std::size_t LongestLine = 65536;
/** Lines kept at most: a request makes a few in each process. */
constexpr std::size_t MostKept = 5000;
/** Beliefs are shown from so long before the request's first line on; times are compared as text, to the second. */
constexpr std::size_t SecondDigits = 19;

/** One line of a log that matters, with its place. */
struct Found {
    std::string place;
    json line;
};

/** What was read, and what couldn't be. */
struct Reading {
    std::vector<Found> request;
    std::vector<Found> beliefs;
    Findings findings;
    std::uint64_t suppressed = 0;
};

/** Calls @p take for each line of a file, with an empty string for a line that is too long. @return false on a read
 * error */
bool eachLine(const std::string &path, const std::function<void(std::uint64_t, const std::string &)> &take)
{
    std::ifstream file(path);
    if (!file) {
        return false;
    }
    std::string line;
    std::uint64_t number = 0;
    for (char letter = 0; file.get(letter);) {
        if (letter == '\n') {
            take(++number, line.size() >= LongestLine ? std::string() : line);
            line.clear();
        } else if (line.size() < LongestLine) {
            line += letter;
        }
    }
    if (!line.empty()) {
        take(++number, line);
    }
    return true;
}

/** @return the object that a line holds, behind whatever its collector put before it; a null for another line */
json objectIn(const std::string &line)
{
    const std::size_t begin = line.find('{');
    if (begin == std::string::npos) {
        return {};
    }
    json object = json::parse(line.begin() + static_cast<std::ptrdiff_t>(begin), line.end(), nullptr, false);
    return object.is_object() && object.contains("time") && object.contains("process") ? object : json();
}

/** @return whether a request's name is the one asked for, or that of one of its attempts at another agent */
bool isOf(const std::string &name, const std::string &id)
{
    return name == id || (name.starts_with(id) && name[id.size()] == '.');
}

void readRequestLines(const std::vector<std::string> &files, const std::string &id, Reading &reading)
{
    for (const std::string &path : files) {
        const bool read = eachLine(path, [&](std::uint64_t number, const std::string &line) {
            const std::string place = path + ":" + std::to_string(number);
            if (line.find(id) == std::string::npos) {
                return;
            }
            json object = objectIn(line);
            if (object.is_null()) {
                reading.findings.push_back({place, "names the request but is no whole line of a log", {}});
                return;
            }
            reading.suppressed += object.value("left_out", 0U) + object.value("lines_lost", 0U);
            if (isOf(object.value("request", ""), id) && reading.request.size() < MostKept) {
                reading.request.push_back({place, std::move(object)});
            }
        });
        if (!read) {
            reading.findings.push_back({path, "can't be read", {}});
        }
    }
}

/** Lines of the same processes from the second before the request on that are about no request. */
void readBeliefs(const std::vector<std::string> &files, Reading &reading)
{
    std::set<std::string> processes;
    std::string first = "9";
    std::string last;
    for (const Found &found : reading.request) {
        processes.insert(found.line["process"].get<std::string>());
        first = std::min(first, found.line["time"].get<std::string>());
        last = std::max(last, found.line["time"].get<std::string>());
    }
    for (const std::string &path : files) {
        eachLine(path, [&](std::uint64_t number, const std::string &line) {
            const json object = objectIn(line);
            if (object.is_null() || object.contains("request") || !processes.contains(object["process"])) {
                return;
            }
            const std::string time = object["time"];
            const bool during = time.substr(0, SecondDigits) >= first.substr(0, SecondDigits) && time <= last;
            if (during && reading.beliefs.size() < MostKept) {
                reading.beliefs.push_back({path + ":" + std::to_string(number), object});
            }
        });
    }
}

std::string fieldsOf(const json &line)
{
    static const std::set<std::string> shown{"time", "level", "process", "part", "event", "message"};
    std::string text;
    for (const auto &[name, value] : line.items()) {
        if (!shown.contains(name)) {
            text += " " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return text;
}

void printLine(std::ostream &out, const Found &found)
{
    const json &line = found.line;
    out << line["time"].get<std::string>() << " " << line["process"].get<std::string>() << " "
        << (line.contains("request") ? "" : "(belief) ") << line.value("event", "") << " " << line.value("message", "")
        << fieldsOf(line) << "\n";
}

} // namespace

int runTrace(const Values &values, Context &context)
{
    const std::string id = values.arguments().front();
    const std::vector<std::string> files(values.arguments().begin() + 1, values.arguments().end());
    Reading reading;
    readRequestLines(files, id, reading);
    readBeliefs(files, reading);
    std::vector<Found> all = reading.request;
    all.insert(all.end(), reading.beliefs.begin(), reading.beliefs.end());
    std::stable_sort(all.begin(), all.end(), [](const Found &left, const Found &right) {
        return left.line["time"].get<std::string>() < right.line["time"].get<std::string>();
    });
    context.err << toText(reading.findings);
    if (values.isOn("json")) {
        json lines = json::array();
        for (const Found &found : all) {
            lines.push_back(found.line);
            lines.back()["place"] = found.place;
        }
        context.out << json{{"request", id}, {"lines", lines}, {"left_out", reading.suppressed}}.dump(2) << "\n";
    } else {
        for (const Found &found : all) {
            printLine(context.out, found);
        }
        if (reading.suppressed > 0) {
            context.out << reading.suppressed
                        << " lines were left out where these were written: the way may have gaps\n";
        }
    }
    if (reading.request.empty()) {
        context.err << "no line names the request " << id
                    << ": it came to none of these processes, or its lines were left out\n";
        return ExitRefused;
    }
    return ExitDone;
}

} // namespace bergamotweir::cli
