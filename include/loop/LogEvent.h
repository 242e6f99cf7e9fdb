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
 * One line of the structured log: a JSON object with the name of an event and its fields. The destructor writes it,
 * that is, at the end of the statement that created it with Log::event(). The fields of a suppressed line are not
 * formatted.
 */
class LogEvent
{
public:
    /** Creates a suppressed event, which is not written. */
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
    /** Writes a number of milliseconds; the name of the field should end in _ms. */
    LogEvent &with(const char *field, std::chrono::nanoseconds value);

private:
    LogEvent &appendField(const char *field, std::string_view text);

    bool enabled = false;
    LogLevel level{};
    std::string line;
};

} // namespace bergamotweir::loop
