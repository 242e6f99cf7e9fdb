#include "cli/Run.h"

#include "Help.h"
#include "ReadSettings.h"
#include "cli/Command.h"
#include "cli/Context.h"

#include <algorithm>
#include <ostream>
#include <sstream>

namespace bergamotweir::cli {

namespace {

std::vector<std::string> split(std::string_view name)
{
    std::istringstream text{std::string(name)};
    std::vector<std::string> words;
    for (std::string word; text >> word;) {
        words.push_back(std::move(word));
    }
    return words;
}

bool startsWith(const std::vector<std::string> &words, const std::vector<std::string> &start)
{
    return words.size() >= start.size() && std::equal(start.begin(), start.end(), words.begin());
}

const Command *findCommand(const std::vector<std::string> &words)
{
    for (const Command &command : allCommands()) {
        if (startsWith(words, split(command.name))) {
            return &command;
        }
    }
    return nullptr;
}

/** @return the commands whose name begins with the first word: "table" alone asks for its four commands */
std::string commandsBelow(const std::string &word)
{
    std::string text;
    for (const Command &command : allCommands()) {
        if (split(command.name).front() == word) {
            text += commandHelp(command) + "\n";
        }
    }
    return text;
}

bool asksForHelp(const std::vector<std::string> &words)
{
    return std::ranges::find(words, "--help") != words.end() || std::ranges::find(words, "-h") != words.end();
}

int unknownCommand(const std::vector<std::string> &words, Context &context)
{
    const bool help = words.empty() || asksForHelp(words);
    const std::string below = words.empty() ? std::string() : commandsBelow(words.front());
    if (help && (words.empty() || words.front().starts_with("-") || !below.empty())) {
        context.out << (below.empty() ? programHelp() : below);
        return words.empty() ? ExitBadInput : ExitDone;
    }
    context.err << toText(oneFinding("argument 1",
                                     "\"" + words.front().substr(0, 80) + "\" doesn't begin a whole command",
                                     "one of those that bergamotweir --help lists"));
    return ExitBadInput;
}

} // namespace

int run(const std::vector<std::string> &words, Context &context)
{
    const Command *command = findCommand(words);
    if (command == nullptr) {
        return unknownCommand(words, context);
    }
    if (asksForHelp(words)) {
        context.out << commandHelp(*command);
        return ExitDone;
    }
    const auto nameLength = static_cast<std::ptrdiff_t>(split(command->name).size());
    const Result<Values> values =
        readSettings(*command, {words.begin() + nameLength, words.end()}, context.environment);
    if (!values) {
        context.err << toText(values.error());
        return ExitBadInput;
    }
    return command->run(values.value(), context);
}

} // namespace bergamotweir::cli
