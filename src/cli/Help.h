#pragma once

#include <string>

namespace bergamotweir::cli {

struct Command;

/** @return what the program is and all its commands */
std::string programHelp();

/** @return how one command is used: arguments, settings with variables and defaults, an example, exit codes */
std::string commandHelp(const Command &command);

} // namespace bergamotweir::cli
