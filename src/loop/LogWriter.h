#pragma once

#include "loop/Log.h"

#include <string>
#include <string_view>

namespace bergamotweir::loop {

/** @return the beginning of a line: an open JSON object with time, level, process and part */
std::string lineStart(LogLevel level, const char *part);

/** Writes a line through the logging library. Any thread; never waits for the reader. */
void writeLine(LogLevel level, const std::string &line);

} // namespace bergamotweir::loop
