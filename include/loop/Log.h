#pragma once

#include "base/Finding.h"
#include "loop/LogEvent.h"
#include "loop/LogLimiter.h"
#include "loop/LogSite.h"

#include <string>
#include <string_view>

namespace bergamotweir::loop {

/** How much a message matters; the lower ones are left out by the setting log-level. */
enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

/** Lines about requests that went well: their number follows the load. */
inline constexpr LogLimiter::Bound RoutineBound{50, std::chrono::seconds(1)};
/** Lines about what failed, or about a change of what the process believes. */
inline constexpr LogLimiter::Bound FailureBound{200, std::chrono::seconds(1)};

/**
 * Starts writing the log to standard output, by log4cplus: a JSON object a line. Until then messages go nowhere, as in
 * tests. A reader that stops reading costs lines, which are counted, and never time.
 * @param level debug, info, warn or error
 * @param process name of this process, told in each line
 */
void startLogging(std::string_view level, std::string_view process);

/** @return "key#" and a hash of a caller's key: log lines can be matched, the key itself isn't told */
std::string redacted(std::string_view key);

/**
 * The log of one part of a process, such as "raft" or "gate". Each line is a JSON object: time, level, process, part
 * and a message, or the fields of an event. Bounded by LogLimiter. Any thread. Cheap to create; usually a file-local
 * constant.
 */
class Log
{
public:
    /** @param part fixed prefix of every message; a string literal */
    explicit constexpr Log(const char *part)
        : part(part)
    {
    }

    /** Writes a short sentence; no payload and no caller's key, see redacted(). */
    void debug(std::string_view message, LogSite site = LogSite::here()) const;
    void info(std::string_view message, LogSite site = LogSite::here()) const;
    void warn(std::string_view message, LogSite site = LogSite::here()) const;
    void error(std::string_view message, LogSite site = LogSite::here()) const;

    /**
     * Begins a line with fields, see LogEvent.
     * @param name of the event, the same for all of its kind; a string literal
     * @param bound of the lines that this place of the program writes
     */
    LogEvent event(LogLevel level,
                   const char *name,
                   const LogLimiter::Bound &bound = FailureBound,
                   LogSite site = LogSite::here()) const;

    /** Writes each finding as an error of its own, at most LogLimiter's allowance. */
    void error(const Findings &findings, LogSite site = LogSite::here()) const;

private:
    void write(LogLevel level, std::string_view message, const LogSite &site) const;

    const char *part;
};

} // namespace bergamotweir::loop
