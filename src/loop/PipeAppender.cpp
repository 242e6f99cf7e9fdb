#include "PipeAppender.h"

#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace bergamotweir::loop {

PipeAppender::PipeAppender(int descriptor)
    : descriptor(descriptor)
{
}

PipeAppender::~PipeAppender()
{
    this->destructorImpl();
}

void PipeAppender::close()
{
    this->flush();
    this->closed = true;
}

void PipeAppender::append(const log4cplus::spi::InternalLoggingEvent &event)
{
    this->flush();
    const bool isFailure = event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL;
    const std::string &line = event.getMessage();
    if (this->buffer.size() + line.size() > (isFailure ? MaxBufferedBytes : MaxBufferedRoutineBytes)) {
        ++this->lostLines;
        return;
    }
    this->buffer += line;
    if (this->lostLines > 0 && line.ends_with('}')) {
        this->buffer.pop_back();
        this->buffer += ",\"lines_lost\":" + std::to_string(this->lostLines) + "}";
        this->lostLines = 0;
    }
    this->buffer += '\n';
    this->flush();
}

/** Writes at most PIPE_BUF bytes at a time: a pipe that is ready accepts these atomically and without blocking. */
void PipeAppender::flush()
{
    while (!this->buffer.empty()) {
        pollfd ready{this->descriptor, POLLOUT, 0};
        if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
            return;
        }
        std::size_t size = std::min<std::size_t>(this->buffer.size(), PIPE_BUF);
        if (size < this->buffer.size()) {
            // Writes whole lines only, unless the first line is longer than PIPE_BUF.
            const std::size_t end = this->buffer.rfind('\n', size - 1);
            size = end == std::string::npos ? size : end + 1;
        }
        const ssize_t count = ::write(this->descriptor, this->buffer.data(), size);
        if (count <= 0) {
            return;
        }
        this->buffer.erase(0, static_cast<std::size_t>(count));
    }
}

} // namespace bergamotweir::loop
