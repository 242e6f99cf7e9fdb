#pragma once

#include <string>

namespace bergamotweir::cli {

struct Command;

/** @return the help of the program: its purpose and all commands */
std::string programHelp();

/** @return the help of a command: arguments, settings with variables and defaults, an example, exit codes */
std::string commandHelp(const Command &command);

} // namespace bergamotweir::cli
