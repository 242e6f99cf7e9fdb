#include "ReadSettings.h"

#include "cli/Command.h"

#include <getopt.h>

namespace bergamotweir::cli {

namespace {

using Environment = std::function<std::optional<std::string>(const std::string &)>;

/** What getopt_long answers for a known flag; the flag's number comes beside it. */
constexpr int KnownFlag = 0;
constexpr int MissingValue = ':';

struct Reading {
    Values values;
    Findings findings;
};

std::string flagName(const Setting &setting)
{
    return "flag --" + std::string(setting.name);
}

void check(Reading &reading, const ValueKind &kind, const std::string &value, const std::string &place)
{
    if (!kind.isValid(value)) {
        reading.findings.push_back({place,
                                    "\"" + value.substr(0, 80) + "\" isn't " + std::string(kind.expected),
                                    "for example " + std::string(kind.example)});
    }
}

void take(Reading &reading, const Setting &setting, const std::string &value, const std::string &place)
{
    if (setting.kind != nullptr) {
        check(reading, *setting.kind, value, place);
    } else if (value != "yes" && value != "no") {
        reading.findings.push_back({place, "\"" + value.substr(0, 80) + "\" isn't yes or no", "yes"});
    }
    reading.values.set(setting.name, value, place);
}

void takeDefaults(Reading &reading, const Command &command, const Environment &environment)
{
    for (const Setting &setting : command.settings) {
        const std::string variable = variableName(setting.name);
        const std::optional<std::string> value = environment(variable);
        if (reading.values.isSet(setting.name)) {
            continue;
        }
        if (value.has_value() && !value->empty()) {
            take(reading, setting, *value, "variable " + variable);
        } else if (!setting.defaultValue.empty()) {
            reading.values.set(setting.name, std::string(setting.defaultValue), {});
        } else if (setting.required) {
            reading.findings.push_back({flagName(setting),
                                        "is missing",
                                        "--" + std::string(setting.name) + " " + std::string(setting.kind->example)
                                            + " or the variable " + variable});
        }
    }
}

std::vector<option> toOptions(const std::vector<Setting> &settings)
{
    std::vector<option> options;
    options.reserve(settings.size() + 1);
    for (const Setting &setting : settings) {
        // The names are literals, so that they are ended by a zero.
        const int hasValue = setting.kind == nullptr ? no_argument : required_argument;
        options.push_back({setting.name.data(), hasValue, nullptr, KnownFlag});
    }
    options.push_back({nullptr, 0, nullptr, 0});
    return options;
}

void takeFlags(Reading &reading, const Command &command, std::vector<std::string> words)
{
    words.insert(words.begin(), "bergamotweir");
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const int count = static_cast<int>(words.size());
    const std::vector<option> options = toOptions(command.settings);
    // 0 makes getopt_long start over; the option string's ':' makes it tell a missing value from an unknown flag.
    optind = 0;
    opterr = 0;
    int index = 0;
    for (int answer = 0; (answer = getopt_long(count, arguments.data(), ":", options.data(), &index)) != -1;) {
        if (answer == KnownFlag) {
            const Setting &setting = command.settings[static_cast<std::size_t>(index)];
            take(reading, setting, setting.kind == nullptr ? "yes" : optarg, flagName(setting));
            continue;
        }
        const std::string word = arguments[static_cast<std::size_t>(optind) - 1];
        if (answer == MissingValue) {
            reading.findings.push_back({"flag " + word, "its value is missing", {}});
        } else {
            reading.findings.push_back(
                {"flag " + word, "is unknown, ambiguous or takes no value", "--help to see all"});
        }
    }
    for (int i = optind; i < count; ++i) {
        reading.values.addArgument(arguments[static_cast<std::size_t>(i)]);
    }
}

void checkArguments(Reading &reading, const Command &command)
{
    const std::vector<std::string> &given = reading.values.arguments();
    for (std::size_t i = 0; i < std::max(given.size(), command.arguments.size()); ++i) {
        const std::string place = "argument " + std::to_string(i + 1);
        const bool repeated = command.lastRepeats && i >= command.arguments.size();
        if (repeated) {
            check(reading, *command.arguments.back().kind, given[i], place);
        } else if (i >= command.arguments.size()) {
            reading.findings.push_back({place, "\"" + given[i].substr(0, 80) + "\" is one too many", {}});
        } else if (i >= given.size()) {
            reading.findings.push_back({place,
                                        std::string(command.arguments[i].help) + " is missing",
                                        "for example " + std::string(command.arguments[i].kind->example)});
        } else {
            check(reading, *command.arguments[i].kind, given[i], place);
        }
    }
}

} // namespace

Result<Values>
readSettings(const Command &command, const std::vector<std::string> &words, const Environment &environment)
{
    Reading reading;
    takeFlags(reading, command, words);
    checkArguments(reading, command);
    takeDefaults(reading, command, environment);
    if (!reading.findings.empty()) {
        return reading.findings;
    }
    return std::move(reading.values);
}

} // namespace bergamotweir::cli
