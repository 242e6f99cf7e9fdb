#include "loop/Log.h"

#include "loop/LogLimiter.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <xxhash.h>

#include <array>
#include <atomic>
#include <cstdio>
#include <mutex>

namespace bergamotweir::loop {

namespace {

constexpr const char *Pattern = "%d{%Y-%m-%dT%H:%M:%S.%q}Z %-5p %c: %m%n";
constexpr std::size_t MaxMessageLength = 400;

/** The log of the process; started once and never taken down, so that threads may write until the end. */
struct Writer {
    std::mutex mutex;
    LogLimiter limiter;
};

std::atomic<bool> started{false};

Writer &writer()
{
    static auto *const theWriter = new Writer;
    return *theWriter;
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

log4cplus::LogLevel levelNamed(std::string_view name)
{
    if (name == "debug") {
        return log4cplus::DEBUG_LOG_LEVEL;
    }
    if (name == "warn") {
        return log4cplus::WARN_LOG_LEVEL;
    }
    return name == "error" ? log4cplus::ERROR_LOG_LEVEL : log4cplus::INFO_LOG_LEVEL;
}

/** One line, without control characters: text from a peer must not forge lines of the log. */
std::string oneLine(std::string_view message)
{
    std::string line(message.substr(0, MaxMessageLength));
    for (char &character : line) {
        if (static_cast<unsigned char>(character) < ' ') {
            character = ' ';
        }
    }
    return line;
}

} // namespace

void startLogging(std::string_view level)
{
    if (started.exchange(true)) {
        return;
    }
    log4cplus::initialize();
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(Pattern));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    root.setLogLevel(levelNamed(level));
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

void Log::write(LogLevel level, std::string_view message, const LogSite &site) const
{
    if (!started) {
        return;
    }
    const log4cplus::Logger logger = log4cplus::Logger::getInstance(this->part);
    if (!logger.isEnabledFor(toLog4cplus(level))) {
        return;
    }
    std::string line = oneLine(message);
    {
        const std::lock_guard guard(writer().mutex);
        const std::optional<std::uint64_t> leftOut = writer().limiter.allow(site, BootClock::now());
        if (!leftOut) {
            return;
        }
        if (*leftOut > 0) {
            line += " (" + std::to_string(*leftOut) + " such messages left out before)";
        }
    }
    logger.forcedLog(toLog4cplus(level), line);
}

} // namespace bergamotweir::loop
