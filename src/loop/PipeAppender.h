#pragma once

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>

namespace bergamotweir::loop {

/**
 * Writes lines to a descriptor without ever waiting for its reader.
 * Guards against a process that stops because nobody reads its log. It shows as requests that hang while the log's pipe
 * is full. Lines wait in a bounded buffer, and beyond it they are lost and counted: those about failures last.
 */
class PipeAppender : public log4cplus::Appender
{
public:
    /** @param descriptor stays open as long as this */
    explicit PipeAppender(int descriptor);
    ~PipeAppender() override;

    void close() override;

    /** Bytes that wait at most for a reader: a second's lines under load. */
    static constexpr std::size_t MostWaiting = 65536;
    /** Beyond this, lines about what went well are lost. */
    static constexpr std::size_t MostWaitingOrdinary = 32768;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    void flush();

    int descriptor;
    std::string waiting;
    std::uint64_t lost = 0;
};

} // namespace bergamotweir::loop
