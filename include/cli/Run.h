#pragma once

#include <string>
#include <vector>

namespace bergamotweir::cli {

struct Context;

/**
 * Finds the subcommand, reads its settings and runs it.
 * @param words arguments of the command line without the program's name
 * @return exit code of the process
 */
int run(const std::vector<std::string> &words, Context &context);

} // namespace bergamotweir::cli
