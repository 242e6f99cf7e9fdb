#include "loop/LogEvent.h"

#include "LogWriter.h"
#include "loop/Log.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace bergamotweir::loop {

namespace {

std::string quoted(std::string_view text)
{
    // Text from a peer may hold arbitrary bytes; invalid UTF-8 is replaced.
    return nlohmann::json(std::string(text)).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string formatNumber(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.6g", value);
    return text.data();
}

} // namespace

LogEvent::LogEvent(LogLevel level, const char *part, std::string_view name, std::uint64_t suppressed)
    : enabled(true)
    , level(level)
    , line(lineStart(level, part))
{
    this->with("event", name);
    if (suppressed > 0) {
        this->with("left_out", suppressed);
    }
}

LogEvent::~LogEvent()
{
    if (this->enabled) {
        this->line += '}';
        writeLine(this->level, this->line);
    }
}

LogEvent &LogEvent::with(const char *field, std::string_view value)
{
    return this->enabled ? this->appendField(field, quoted(value)) : *this;
}

LogEvent &LogEvent::with(const char *field, const char *value)
{
    return this->with(field, std::string_view(value));
}

LogEvent &LogEvent::with(const char *field, double value)
{
    return this->enabled ? this->appendField(field, formatNumber(value)) : *this;
}

LogEvent &LogEvent::with(const char *field, std::uint64_t value)
{
    return this->enabled ? this->appendField(field, std::to_string(value)) : *this;
}

LogEvent &LogEvent::with(const char *field, std::uint32_t value)
{
    return this->with(field, static_cast<std::uint64_t>(value));
}

LogEvent &LogEvent::with(const char *field, int value)
{
    return this->enabled ? this->appendField(field, std::to_string(value)) : *this;
}

LogEvent &LogEvent::with(const char *field, bool value)
{
    return this->appendField(field, value ? "true" : "false");
}

LogEvent &LogEvent::with(const char *field, std::chrono::nanoseconds value)
{
    return this->with(field, std::chrono::duration<double, std::milli>(value).count());
}

LogEvent &LogEvent::appendField(const char *field, std::string_view text)
{
    if (this->enabled) {
        this->line.append(",\"").append(field).append("\":").append(text);
    }
    return *this;
}

} // namespace bergamotweir::loop
