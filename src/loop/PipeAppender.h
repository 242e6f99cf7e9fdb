#pragma once

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>

namespace bergamotweir::loop {

/**
 * Writes lines to a descriptor without ever waiting for its reader.
 * Guards against a process that blocks because its log is not read: requests would hang while the log's pipe is full.
 * Lines are kept in a bounded buffer. When it is full, lines are dropped and counted; lines about failures are dropped
 * last.
 */
class PipeAppender : public log4cplus::Appender
{
public:
    /** @param descriptor must stay open as long as this appender exists */
    explicit PipeAppender(int descriptor);
    ~PipeAppender() override;

    void close() override;

    /** Maximum size of the buffer in bytes: the lines of one second under load. */
    static constexpr std::size_t MaxBufferedBytes = 65536;
    /** Size of the buffer in bytes above which lines below the level of warnings are dropped. */
    static constexpr std::size_t MaxBufferedRoutineBytes = 32768;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    void flush();

    int descriptor;
    std::string buffer;
    std::uint64_t lostLines = 0;
};

} // namespace bergamotweir::loop
