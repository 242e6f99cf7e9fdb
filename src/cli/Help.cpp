#include "Help.h"

#include "cli/Command.h"

namespace bergamotweir::cli {

namespace {

constexpr const char *ExitCodes = "Exit codes: 0 done, 1 refused or failed, 2 bad input, 3 conflict, "
                                  "4 outcome not known (safe to send again).\n";
constexpr std::size_t NameWidth = 18;

std::string padded(std::string_view text, std::size_t width)
{
    std::string line(text);
    line.resize(std::max(width, text.size() + 1), ' ');
    return line;
}

std::string settingHelp(const Setting &setting)
{
    std::string text = "  --" + std::string(setting.name);
    if (setting.kind != nullptr) {
        text += " " + std::string(setting.kind->placeholder);
    }
    text += "\n      " + std::string(setting.help);
    if (setting.required) {
        text += " Required.";
    }
    if (!setting.defaultValue.empty()) {
        text += " Default: " + std::string(setting.defaultValue) + ".";
    }
    return text + "\n      Variable " + variableName(setting.name) + ".\n";
}

} // namespace

std::string programHelp()
{
    std::string text = "bergamotweir routes requests to servers that own keys exclusively.\n\n"
                       "Usage: bergamotweir COMMAND [ARGUMENT...] [--SETTING VALUE...]\n\nCommands:\n";
    for (const Command &command : allCommands()) {
        text += "  " + padded(command.name, NameWidth) + std::string(command.summary) + "\n";
    }
    return text + "\nbergamotweir COMMAND --help tells more about one. A flag beats its variable.\n" + ExitCodes;
}

std::string commandHelp(const Command &command)
{
    std::string text = std::string(command.summary) + "\n\nUsage: bergamotweir " + std::string(command.name);
    for (const Argument &argument : command.arguments) {
        text += " " + std::string(argument.kind->placeholder);
    }
    text += " [--SETTING VALUE...]\n";
    for (const Argument &argument : command.arguments) {
        text += "  " + padded(argument.kind->placeholder, NameWidth) + std::string(argument.help) + "\n";
    }
    text += "\nSettings:\n";
    for (const Setting &setting : command.settings) {
        text += settingHelp(setting);
    }
    return text + "\nExample:\n  " + std::string(command.example) + "\n\n" + ExitCodes;
}

} // namespace bergamotweir::cli
