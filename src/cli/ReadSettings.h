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
 * @param command declares the settings and arguments
 * @param words the part of the command line after the command's name
 * @param environment returns the value of an environment variable
 * @return the values, or a finding for every invalid setting, with its place
 */
Result<Values> readSettings(const Command &command,
                            const std::vector<std::string> &words,
                            const std::function<std::optional<std::string>(const std::string &)> &environment);

} // namespace bergamotweir::cli
