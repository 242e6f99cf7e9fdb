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
    const bool failure = event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL;
    const std::string &line = event.getMessage();
    if (this->waiting.size() + line.size() > (failure ? MostWaiting : MostWaitingOrdinary)) {
        ++this->lost;
        return;
    }
    this->waiting += line;
    if (this->lost > 0 && line.ends_with('}')) {
        this->waiting.pop_back();
        this->waiting += ",\"lines_lost\":" + std::to_string(this->lost) + "}";
        this->lost = 0;
    }
    this->waiting += '\n';
    this->flush();
}

/** A pipe that is ready takes PIPE_BUF bytes without blocking, and as one piece. */
void PipeAppender::flush()
{
    while (!this->waiting.empty()) {
        pollfd ready{this->descriptor, POLLOUT, 0};
        if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
            return;
        }
        std::size_t size = std::min<std::size_t>(this->waiting.size(), PIPE_BUF);
        if (size < this->waiting.size()) {
            // Whole lines only, as long as one fits.
            const std::size_t end = this->waiting.rfind('\n', size - 1);
            size = end == std::string::npos ? size : end + 1;
        }
        const ssize_t count = ::write(this->descriptor, this->waiting.data(), size);
        if (count <= 0) {
            return;
        }
        this->waiting.erase(0, static_cast<std::size_t>(count));
    }
}

} // namespace bergamotweir::loop
