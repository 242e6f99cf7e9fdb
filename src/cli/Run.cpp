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

std::vector<std::string> splitWords(std::string_view name)
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
        if (startsWith(words, splitWords(command.name))) {
            return &command;
        }
    }
    return nullptr;
}

/** @return the help of all commands whose name begins with a word, such as the four commands of "table" */
std::string commandGroupHelp(const std::string &word)
{
    std::string text;
    for (const Command &command : allCommands()) {
        if (splitWords(command.name).front() == word) {
            text += commandHelp(command) + "\n";
        }
    }
    return text;
}

bool asksForHelp(const std::vector<std::string> &words)
{
    return std::ranges::find(words, "--help") != words.end() || std::ranges::find(words, "-h") != words.end();
}

int handleUnknownCommand(const std::vector<std::string> &words, Context &context)
{
    const bool wantsHelp = words.empty() || asksForHelp(words);
    const std::string groupHelp = words.empty() ? std::string() : commandGroupHelp(words.front());
    if (wantsHelp && (words.empty() || words.front().starts_with("-") || !groupHelp.empty())) {
        context.out << (groupHelp.empty() ? programHelp() : groupHelp);
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
        return handleUnknownCommand(words, context);
    }
    if (asksForHelp(words)) {
        context.out << commandHelp(*command);
        return ExitDone;
    }
    const auto nameLength = static_cast<std::ptrdiff_t>(splitWords(command->name).size());
    const Result<Values> values =
        readSettings(*command, {words.begin() + nameLength, words.end()}, context.environment);
    if (!values) {
        context.err << toText(values.error());
        return ExitBadInput;
    }
    return command->run(values.value(), context);
}

} // namespace bergamotweir::cli
