#include "loop/Log.h"

#include "LogWriter.h"
#include "PipeAppender.h"
#include "loop/LogLimiter.h"

#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <xxhash.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <mutex>
#include <unistd.h>

namespace bergamotweir::loop {

namespace {

constexpr std::size_t MaxMessageLength = 400;

/** The log of the process; created once and never destroyed, so that threads may write until the process exits. */
struct Writer {
    std::mutex mutex;
    LogLimiter limiter;
    std::string process;
};

std::atomic<bool> started{false};

Writer &writer()
{
    static auto *const instance = new Writer;
    return *instance;
}

log4cplus::LogLevel toLog4cplus(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::LogLevel levelFromText(std::string_view name)
{
    if (name == "debug") {
        return log4cplus::DEBUG_LOG_LEVEL;
    }
    if (name == "warn") {
        return log4cplus::WARN_LOG_LEVEL;
    }
    return name == "error" ? log4cplus::ERROR_LOG_LEVEL : log4cplus::INFO_LOG_LEVEL;
}

const char *levelText(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warn:
        return "warn";
    case LogLevel::Error:
        break;
    }
    return "error";
}

std::string wallClock()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now - seconds);
    const std::time_t time = seconds.count();
    std::tm fields{};
    gmtime_r(&time, &fields);
    std::array<char, 96> text{};
    std::snprintf(text.data(),
                  text.size(),
                  "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                  fields.tm_year + 1900,
                  fields.tm_mon + 1,
                  fields.tm_mday,
                  fields.tm_hour,
                  fields.tm_min,
                  fields.tm_sec,
                  static_cast<int>(millis.count()));
    return text.data();
}

/** @return whether lines of that level are written */
bool isEnabled(LogLevel level)
{
    return started && log4cplus::Logger::getRoot().isEnabledFor(toLog4cplus(level));
}

/** @return how many lines of the site were suppressed before; std::nullopt if this one is suppressed as well */
std::optional<std::uint64_t> allow(const LogSite &site, const LogLimiter::Bound &bound)
{
    const std::lock_guard guard(writer().mutex);
    return writer().limiter.allow(site, BootClock::now(), bound);
}

} // namespace

std::string lineStart(LogLevel level, const char *part)
{
    std::string line = "{\"time\":\"" + wallClock() + "\",\"level\":\"" + levelText(level) + "\",\"process\":\"";
    return line.append(writer().process).append("\",\"part\":\"").append(part).append("\"");
}

void writeLine(LogLevel level, const std::string &line)
{
    log4cplus::Logger::getRoot().forcedLog(toLog4cplus(level), line);
}

void startLogging(std::string_view level, std::string_view process)
{
    if (started.exchange(true)) {
        return;
    }
    writer().process = process;
    log4cplus::initialize();
    // Its threads serve asynchronous appenders, which are not used here; one is the minimum.
    log4cplus::setThreadPoolSize(1);
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.addAppender(log4cplus::SharedAppenderPtr(new PipeAppender(STDOUT_FILENO)));
    root.setLogLevel(levelFromText(level));
}

std::string redacted(std::string_view key)
{
    std::array<char, 16> text{};
    const int length = std::snprintf(
        text.data(), text.size(), "key#%08x", static_cast<unsigned>(XXH3_64bits(key.data(), key.size()) >> 32U));
    return {text.data(), static_cast<std::size_t>(length)};
}

void Log::debug(std::string_view message, LogSite site) const
{
    this->write(LogLevel::Debug, message, site);
}

void Log::info(std::string_view message, LogSite site) const
{
    this->write(LogLevel::Info, message, site);
}

void Log::warn(std::string_view message, LogSite site) const
{
    this->write(LogLevel::Warn, message, site);
}

void Log::error(std::string_view message, LogSite site) const
{
    this->write(LogLevel::Error, message, site);
}

void Log::error(const Findings &findings, LogSite site) const
{
    for (const Finding &finding : findings) {
        this->write(LogLevel::Error, finding.place + ": " + finding.message, site);
    }
}

LogEvent Log::event(LogLevel level, const char *name, const LogLimiter::Bound &bound, LogSite site) const
{
    if (!isEnabled(level)) {
        return {};
    }
    const std::optional<std::uint64_t> suppressed = allow(site, bound);
    return suppressed ? LogEvent(level, this->part, name, *suppressed) : LogEvent();
}

void Log::write(LogLevel level, std::string_view message, const LogSite &site) const
{
    if (!isEnabled(level)) {
        return;
    }
    const std::optional<std::uint64_t> suppressed = allow(site, LogLimiter::Bound{});
    if (suppressed) {
        LogEvent(level, this->part, "message", *suppressed).with("message", message.substr(0, MaxMessageLength));
    }
}

} // namespace bergamotweir::loop
