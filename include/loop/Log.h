#pragma once

#include "base/Finding.h"
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

/**
 * Starts writing the log to standard error, by log4cplus. Until then messages go nowhere, as in tests.
 * @param level debug, info, warn or error
 */
void startLogging(std::string_view level);

/** @return "key#" and a hash of a caller's key: log lines can be matched, the key itself isn't told */
std::string redacted(std::string_view key);

/**
 * The log of one part of a process, such as "raft" or "gate". Each line is: time, level, part, short sentence.
 * Bounded by LogLimiter. Any thread. Cheap to create; usually a file-local constant.
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

    /** Writes each finding as an error of its own, at most LogLimiter's allowance. */
    void error(const Findings &findings, LogSite site = LogSite::here()) const;

private:
    void write(LogLevel level, std::string_view message, const LogSite &site) const;

    const char *part;
};

} // namespace bergamotweir::loop
