#include "ReadSettings.h"

#include "cli/Command.h"

#include <getopt.h>

namespace bergamotweir::cli {

namespace {

using Environment = std::function<std::optional<std::string>(const std::string &)>;

/** Returned by getopt_long for a known flag, whose index is an output parameter. */
constexpr int KnownFlag = 0;
/** Returned by getopt_long for a flag without its value. */
constexpr int MissingValue = ':';

struct ParseState {
    Values values;
    Findings findings;
};

std::string flagName(const Setting &setting)
{
    return "flag --" + std::string(setting.name);
}

void checkValue(ParseState &state, const ValueKind &kind, const std::string &value, const std::string &place)
{
    if (!kind.isValid(value)) {
        state.findings.push_back({place,
                                  "\"" + value.substr(0, 80) + "\" isn't " + std::string(kind.expected),
                                  "for example " + std::string(kind.example)});
    }
}

void setValue(ParseState &state, const Setting &setting, const std::string &value, const std::string &place)
{
    if (setting.kind != nullptr) {
        checkValue(state, *setting.kind, value, place);
    } else if (value != "yes" && value != "no") {
        state.findings.push_back({place, "\"" + value.substr(0, 80) + "\" isn't yes or no", "yes"});
    }
    state.values.set(setting.name, value, place);
}

void readVariablesAndDefaults(ParseState &state, const Command &command, const Environment &environment)
{
    for (const Setting &setting : command.settings) {
        const std::string variable = variableName(setting.name);
        const std::optional<std::string> value = environment(variable);
        if (state.values.isSet(setting.name)) {
            continue;
        }
        if (value.has_value() && !value->empty()) {
            setValue(state, setting, *value, "variable " + variable);
        } else if (!setting.defaultValue.empty()) {
            state.values.set(setting.name, std::string(setting.defaultValue), {});
        } else if (setting.required) {
            state.findings.push_back({flagName(setting),
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
        // The names are string literals and therefore null-terminated.
        const int argumentMode = setting.kind == nullptr ? no_argument : required_argument;
        options.push_back({setting.name.data(), argumentMode, nullptr, KnownFlag});
    }
    options.push_back({nullptr, 0, nullptr, 0});
    return options;
}

void readFlags(ParseState &state, const Command &command, std::vector<std::string> words)
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
    // 0 resets getopt_long; the ':' in the option string lets it distinguish a missing value from an unknown flag.
    optind = 0;
    opterr = 0;
    int index = 0;
    for (int code = 0; (code = getopt_long(count, arguments.data(), ":", options.data(), &index)) != -1;) {
        if (code == KnownFlag) {
            const Setting &setting = command.settings[static_cast<std::size_t>(index)];
            setValue(state, setting, setting.kind == nullptr ? "yes" : optarg, flagName(setting));
            continue;
        }
        const std::string word = arguments[static_cast<std::size_t>(optind) - 1];
        if (code == MissingValue) {
            state.findings.push_back({"flag " + word, "its value is missing", {}});
        } else {
            state.findings.push_back({"flag " + word, "is unknown, ambiguous or takes no value", "--help to see all"});
        }
    }
    for (int i = optind; i < count; ++i) {
        state.values.addArgument(arguments[static_cast<std::size_t>(i)]);
    }
}

void checkArguments(ParseState &state, const Command &command)
{
    const std::vector<std::string> &given = state.values.arguments();
    for (std::size_t i = 0; i < std::max(given.size(), command.arguments.size()); ++i) {
        const std::string place = "argument " + std::to_string(i + 1);
        const bool isRepeated = command.lastArgumentRepeats && i >= command.arguments.size();
        if (isRepeated) {
            checkValue(state, *command.arguments.back().kind, given[i], place);
        } else if (i >= command.arguments.size()) {
            state.findings.push_back({place, "\"" + given[i].substr(0, 80) + "\" is one too many", {}});
        } else if (i >= given.size()) {
            state.findings.push_back({place,
                                      std::string(command.arguments[i].help) + " is missing",
                                      "for example " + std::string(command.arguments[i].kind->example)});
        } else {
            checkValue(state, *command.arguments[i].kind, given[i], place);
        }
    }
}

} // namespace

Result<Values>
readSettings(const Command &command, const std::vector<std::string> &words, const Environment &environment)
{
    ParseState state;
    readFlags(state, command, words);
    checkArguments(state, command);
    readVariablesAndDefaults(state, command, environment);
    if (!state.findings.empty()) {
        return state.findings;
    }
    return std::move(state.values);
}

} // namespace bergamotweir::cli
