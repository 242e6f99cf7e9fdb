#pragma once

#include "base/Result.h"
#include "cli/Values.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bergamotweir::cli {

struct Command;

/**
 * Reads the settings and arguments of a command.
 * @param command says which there are
 * @param words the command line behind the command's name
 * @param environment looks up a variable
 * @return the values, or every bad setting with its place
 */
Result<Values> readSettings(const Command &command,
                            const std::vector<std::string> &words,
                            const std::function<std::optional<std::string>(const std::string &)> &environment);

} // namespace bergamotweir::cli
