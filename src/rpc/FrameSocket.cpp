#include "rpc/FrameSocket.h"

#include "net/Address.h"

#include <ace/SOCK_Connector.h>

#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <utility>

namespace bergamotweir::rpc {

namespace {

constexpr std::size_t ReadBytes = std::size_t{64} * 1024;
/** Reads of one connection in a row, so that others are served in between. */
constexpr int MaxReadsPerEvent = 4;
constexpr std::size_t MaxFramesPerWrite = 64;

Frame prefaceFrame()
{
    static const Frame preface = std::make_shared<const std::string>(FramePreface);
    return preface;
}

bool isRetryable(int error)
{
    return error == EWOULDBLOCK || error == EAGAIN || error == EINTR;
}

void disableDelay(ACE_SOCK_Stream &stream)
{
    int on = 1;
    stream.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

Frame makeFrame(const google::protobuf::MessageLite &message)
{
    const std::size_t size = message.ByteSizeLong();
    std::string bytes = frameHeader(size);
    bytes.reserve(FrameHeaderBytes + size);
    message.AppendToString(&bytes);
    return std::make_shared<const std::string>(std::move(bytes));
}

FrameSocket::FrameSocket(loop::EventLoop &loop, std::size_t maxFrameBytes, loop::WatchPriority priority)
    : loop(loop)
    , priority(priority)
    , receivedAt(BootClock::now())
{
    this->reader.maxBytes = maxFrameBytes;
}

std::shared_ptr<FrameSocket>
FrameSocket::connect(loop::EventLoop &loop, const std::string &address, std::size_t maxFrameBytes)
{
    std::shared_ptr<FrameSocket> socket(new FrameSocket(loop, maxFrameBytes, loop::WatchPriority::High));
    const std::optional<ACE_INET_Addr> target = net::parseAddress(address);
    if (!target) {
        return socket;
    }
    ACE_SOCK_Connector connector;
    ACE_Time_Value noWait = ACE_Time_Value::zero;
    const int result = connector.connect(socket->stream, *target, &noWait);
    if (result != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS && errno != ETIME) {
        socket->stream.close();
        return socket;
    }
    socket->isOpen = true;
    socket->stream.enable(ACE_NONBLOCK);
    socket->queue.push_back(prefaceFrame());
    socket->bytesQueued = FramePreface.size();
    socket->watch(true);
    return socket;
}

std::shared_ptr<FrameSocket> FrameSocket::accept(loop::EventLoop &loop,
                                                 const ACE_SOCK_Stream &stream,
                                                 std::size_t maxFrameBytes,
                                                 loop::WatchPriority priority)
{
    std::shared_ptr<FrameSocket> socket(new FrameSocket(loop, maxFrameBytes, priority));
    socket->stream = stream;
    socket->isOpen = true;
    socket->isConnected = true;
    disableDelay(socket->stream);
    socket->watch(false);
    socket->send(prefaceFrame());
    return socket;
}

FrameSocket::~FrameSocket()
{
    this->close();
}

void FrameSocket::setEvents(FrameSocketEvents value)
{
    this->events = std::move(value);
}

void FrameSocket::send(Frame frame)
{
    if (!this->isOpen || this->closesWhenSent) {
        return;
    }
    this->bytesQueued += frame->size();
    this->queue.push_back(std::move(frame));
    this->scheduleFlush();
}

void FrameSocket::scheduleFlush()
{
    if (this->flushScheduled || this->watchesWritable) {
        return;
    }
    this->flushScheduled = true;
    this->loop.post([weak = this->weak_from_this()] {
        if (const std::shared_ptr<FrameSocket> self = weak.lock(); self != nullptr) {
            self->flushScheduled = false;
            self->flush();
        }
    });
}

void FrameSocket::close()
{
    if (!std::exchange(this->isOpen, false)) {
        return;
    }
    this->loop.unwatch(this->stream.get_handle());
    this->stream.close();
    this->queue.clear();
    this->bytesQueued = 0;
}

void FrameSocket::closeWhenSent()
{
    this->closesWhenSent = true;
    this->scheduleFlush();
}

bool FrameSocket::isReady() const
{
    return this->isOpen && this->hasPreface;
}

bool FrameSocket::isClosed() const
{
    return !this->isOpen;
}

std::size_t FrameSocket::queuedBytes() const
{
    return this->bytesQueued;
}

std::size_t FrameSocket::queuedFrames() const
{
    return this->queue.size();
}

std::size_t FrameSocket::unreadBytes() const
{
    int size = 0;
    if (!this->isOpen || ::ioctl(this->stream.get_handle(), FIONREAD, &size) != 0 || size < 0) {
        return 0;
    }
    return static_cast<std::size_t>(size);
}

BootTime FrameSocket::lastReceivedAt() const
{
    return this->receivedAt;
}

void FrameSocket::watch(bool writable)
{
    this->watchesWritable = writable;
    this->loop.watch(
        this->stream.get_handle(),
        {.readable = true, .writable = writable},
        [weak = this->weak_from_this()](loop::Readiness ready) {
            if (const std::shared_ptr<FrameSocket> self = weak.lock(); self != nullptr) {
                self->onReady(ready);
            }
        },
        this->priority);
}

void FrameSocket::onReady(loop::Readiness ready)
{
    if (!this->isConnected) {
        int error = 0;
        int size = sizeof error;
        if (this->stream.get_option(SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            this->fail();
            return;
        }
        this->isConnected = true;
        disableDelay(this->stream);
    }
    if (ready.writable) {
        this->flush();
    }
    if (ready.readable && this->isOpen) {
        this->read();
    }
}

void FrameSocket::flush()
{
    const std::size_t bytesBefore = this->bytesQueued;
    while (this->isOpen && this->isConnected && !this->queue.empty()) {
        std::array<iovec, MaxFramesPerWrite> parts{};
        const std::size_t count = std::min(this->queue.size(), MaxFramesPerWrite);
        for (std::size_t index = 0; index < count; ++index) {
            const std::size_t skipped = index == 0 ? this->sentBytes : 0;
            parts[index].iov_base = const_cast<char *>(this->queue[index]->data()) + skipped;
            parts[index].iov_len = this->queue[index]->size() - skipped;
        }
        msghdr message{};
        message.msg_iov = parts.data();
        message.msg_iovlen = count;
        // The peer may have closed the connection; writing to it must not raise a signal.
        const ssize_t written = ::sendmsg(this->stream.get_handle(), &message, MSG_NOSIGNAL);
        if (written < 0) {
            if (isRetryable(errno)) {
                break;
            }
            this->fail();
            return;
        }
        this->bytesQueued -= static_cast<std::size_t>(written);
        this->sentBytes += static_cast<std::size_t>(written);
        while (!this->queue.empty() && this->sentBytes >= this->queue.front()->size()) {
            this->sentBytes -= this->queue.front()->size();
            this->queue.pop_front();
        }
    }
    if (this->isOpen && this->closesWhenSent && this->queue.empty()) {
        this->close();
    } else if (this->isOpen && this->watchesWritable != !this->queue.empty()) {
        this->watch(!this->queue.empty());
    }
    if (this->isOpen && this->bytesQueued < bytesBefore && this->events.written) {
        const auto callback = this->events.written;
        callback();
    }
}

void FrameSocket::read()
{
    for (int count = 0; count < MaxReadsPerEvent && this->isOpen; ++count) {
        std::array<char, ReadBytes> bytes; // NOLINT(*-member-init): written by recv().
        const ssize_t size = this->stream.recv(bytes.data(), bytes.size());
        if (size < 0 && isRetryable(errno)) {
            return;
        }
        if (size <= 0) {
            this->fail();
            return;
        }
        this->receivedAt = BootClock::now();
        append(this->reader, {bytes.data(), static_cast<std::size_t>(size)});
        this->handleFrames();
        if (static_cast<std::size_t>(size) < bytes.size()) {
            return;
        }
    }
}

/** Reads the preface of the peer. @return whether frames follow */
bool FrameSocket::readPreface()
{
    if (this->hasPreface) {
        return true;
    }
    const std::size_t size = std::min(this->reader.received.size(), FramePreface.size());
    if (this->reader.received.compare(0, size, FramePreface, 0, size) != 0) {
        this->fail();
        return false;
    }
    if (size < FramePreface.size()) {
        return false;
    }
    this->reader.consumed = size;
    this->hasPreface = true;
    return true;
}

void FrameSocket::handleFrames()
{
    if (!this->readPreface()) {
        return;
    }
    while (this->isOpen) {
        const std::optional<std::string_view> frame = nextFrame(this->reader);
        if (!frame) {
            break;
        }
        if (this->events.frame) {
            // Copied, as the callback may replace the callbacks.
            const auto callback = this->events.frame;
            callback(*frame);
        }
    }
    if (this->isOpen && this->reader.failed) {
        this->fail();
    }
}

void FrameSocket::fail()
{
    const std::shared_ptr<FrameSocket> self = this->shared_from_this();
    this->close();
    if (const auto callback = this->events.closed; callback) {
        callback();
    }
}

} // namespace bergamotweir::rpc
