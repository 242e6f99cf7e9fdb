#pragma once

#include "base/Finding.h"
#include "loop/LogEvent.h"
#include "loop/LogLimiter.h"
#include "loop/LogSite.h"

#include <string>
#include <string_view>

namespace bergamotweir::loop {

/** Severity of a message; the setting log-level suppresses messages below its level. */
enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

/** Bound for lines about successful requests, whose number grows with the load. */
inline constexpr LogLimiter::Bound RoutineBound{50, std::chrono::seconds(1)};
/** Bound for lines about failures and about changes of the process's state. */
inline constexpr LogLimiter::Bound FailureBound{200, std::chrono::seconds(1)};

/**
 * Starts writing the log to standard output through log4cplus, one JSON object per line. Messages logged before this
 * call are discarded, as in tests. If the reader of the output stops reading, lines are dropped and counted; the
 * process never blocks.
 * @param level debug, info, warn or error
 * @param process name of this process, written in each line
 */
void startLogging(std::string_view level, std::string_view process);

/** @return "key#" and a hash of a caller's key, so that log lines can be correlated without revealing the key */
std::string redacted(std::string_view key);

/**
 * The log of one part of a process, such as "raft" or "gate". Each line is a JSON object with time, level, process,
 * part and either a message or the fields of an event. LogLimiter bounds the number of lines. Any thread. Cheap to
 * create; usually a file-local constant.
 */
class Log
{
public:
    /** @param part fixed prefix of every message; a string literal */
    explicit constexpr Log(const char *part)
        : part(part)
    {
    }

    /** Writes a short sentence. It must not contain a payload or a caller's key, see redacted(). */
    void debug(std::string_view message, LogSite site = LogSite::here()) const;
    void info(std::string_view message, LogSite site = LogSite::here()) const;
    void warn(std::string_view message, LogSite site = LogSite::here()) const;
    void error(std::string_view message, LogSite site = LogSite::here()) const;

    /**
     * Begins a line with fields, see LogEvent.
     * @param name name of the event, the same for all events of this kind; a string literal
     * @param bound maximum rate of lines from this call site
     */
    LogEvent event(LogLevel level,
                   const char *name,
                   const LogLimiter::Bound &bound = FailureBound,
                   LogSite site = LogSite::here()) const;

    /** Writes each finding as a separate error, within the bound of LogLimiter. */
    void error(const Findings &findings, LogSite site = LogSite::here()) const;

private:
    void write(LogLevel level, std::string_view message, const LogSite &site) const;

    const char *part;
};

} // namespace bergamotweir::loop
