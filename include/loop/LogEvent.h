#pragma once

#include "loop/LogLimiter.h"
#include "loop/LogSite.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace bergamotweir::loop {

enum class LogLevel;

/**
 * One line of the structured log: a JSON object with an event's name and its fields. Written when it is destroyed, that
 * is, at the end of the statement that made it with Log::event(). Fields of a line that is left out cost next to
 * nothing.
 */
class LogEvent
{
public:
    /** An event that isn't written. */
    LogEvent() = default;
    LogEvent(LogLevel level, const char *part, std::string_view name, std::uint64_t suppressed);
    ~LogEvent();
    LogEvent(const LogEvent &) = delete;
    LogEvent &operator=(const LogEvent &) = delete;

    LogEvent &with(const char *field, std::string_view value);
    LogEvent &with(const char *field, const char *value);
    LogEvent &with(const char *field, double value);
    LogEvent &with(const char *field, std::uint64_t value);
    LogEvent &with(const char *field, std::uint32_t value);
    LogEvent &with(const char *field, int value);
    LogEvent &with(const char *field, bool value);
    /** Written as a number of milliseconds; the field's name should end in _ms. */
    LogEvent &with(const char *field, std::chrono::nanoseconds value);

private:
    LogEvent &raw(const char *field, std::string_view text);

    bool written = false;
    LogLevel level{};
    std::string line;
};

} // namespace bergamotweir::loop
