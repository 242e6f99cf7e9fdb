#pragma once

#include "loop/Log.h"

#include <string>
#include <string_view>

namespace bergamotweir::loop {

/** @return the beginning of a line: an open JSON object with time, level, process and part */
std::string lineStart(LogLevel level, const char *part);

/** Writes a line by the logging library, unless its level is left out. Any thread; never waits for the reader. */
void writeLine(LogLevel level, const std::string &line);

} // namespace bergamotweir::loop
