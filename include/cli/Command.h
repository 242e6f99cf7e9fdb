#pragma once

#include "cli/Setting.h"

#include <string_view>
#include <vector>

namespace bergamotweir::cli {

class Values;
struct Context;

/** Exit codes of the program; part of the contract with operators' scripts. */
enum ExitCode : int {
    ExitDone = 0,
    ExitRefused = 1,
    ExitBadInput = 2,
    ExitConflict = 3,
    ExitUnknown = 4,
};

/** A subcommand, declared as data. */
struct Command {
    /** Words of the subcommand, such as "table put". */
    std::string_view name;
    std::string_view summary;
    std::vector<Argument> arguments;
    std::vector<Setting> settings;
    /** A complete, valid command line. */
    std::string_view example;
    /** @return an ExitCode */
    int (*run)(const Values &values, Context &context);
    /** Whether the last argument may be given more than once. */
    bool lastArgumentRepeats = false;
};

/** @return every subcommand, in the order of the help */
const std::vector<Command> &allCommands();

} // namespace bergamotweir::cli
