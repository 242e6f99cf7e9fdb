#include "rpc/FrameServer.h"

#include "loop/Log.h"
#include "net/Address.h"

#include <sys/socket.h>

#include <array>
#include <string_view>
#include <utility>

namespace bergamotweir::rpc {

namespace {

/** Connections that the kernel completes before they are accepted: all agents may connect at the same moment. */
constexpr int Backlog = 4096;
/** Bounds the connections accepted in one loop iteration, so that other event sources are served. */
constexpr int MaxAcceptsPerIteration = 64;
/** Time in which a peer must send the first bytes of its protocol. */
constexpr std::chrono::seconds IdentifyTimeout{5};
/** First bytes of an HTTP/2 connection. */
constexpr std::string_view Http2Preface = "PRI ";

constexpr loop::Log Log("frames");

} // namespace

Result<std::unique_ptr<FrameServer>>
FrameServer::listen(loop::EventLoop &loop, FrameServerSettings settings, FrameServerEvents events)
{
    std::unique_ptr<FrameServer> server(new FrameServer(loop, std::move(settings), std::move(events)));
    Findings findings = server->start();
    if (!findings.empty()) {
        return findings;
    }
    return server;
}

FrameServer::FrameServer(loop::EventLoop &loop, FrameServerSettings settings, FrameServerEvents events)
    : loop(loop)
    , settings(std::move(settings))
    , events(std::move(events))
{
}

Findings FrameServer::start()
{
    const std::optional<ACE_INET_Addr> address = net::makeAddress(this->settings.address, this->settings.port);
    ACE_INET_Addr bound;
    if (!address || this->acceptor.open(*address, 1, PF_INET, Backlog) != 0
        || this->acceptor.get_local_addr(bound) != 0) {
        return oneFinding(this->settings.address + ":" + std::to_string(this->settings.port),
                          "could not be opened for listening",
                          "a free port of this VM");
    }
    this->acceptor.enable(ACE_NONBLOCK);
    this->boundPort = bound.get_port_number();
    this->watchAcceptor();
    return {};
}

FrameServer::~FrameServer()
{
    this->settings.maxUnidentified = 0;
    this->watchAcceptor();
    this->acceptor.close();
    while (!this->unidentified.empty()) {
        this->release(this->unidentified.begin()->first).close();
    }
}

std::uint16_t FrameServer::port() const
{
    return this->boundPort;
}

void FrameServer::watchAcceptor()
{
    const bool wanted = this->unidentified.size() < this->settings.maxUnidentified;
    if (std::exchange(this->isAccepting, wanted) == wanted) {
        return;
    }
    if (!wanted) {
        this->loop.unwatch(this->acceptor.get_handle());
        return;
    }
    this->loop.watch(
        this->acceptor.get_handle(),
        {.readable = true},
        [this](loop::Readiness) {
            this->accept();
        },
        this->settings.priority);
}

void FrameServer::accept()
{
    for (int count = 0; count < MaxAcceptsPerIteration && this->isAccepting; ++count) {
        ACE_SOCK_Stream stream;
        if (this->acceptor.accept(stream) != 0) {
            return;
        }
        stream.enable(ACE_NONBLOCK);
        const int descriptor = stream.get_handle();
        const loop::TimerId timer = this->loop.after(IdentifyTimeout, [this, descriptor] {
            Log.event(loop::LogLevel::Warn, "connection closed").with("why", "nothing received");
            this->release(descriptor).close();
        });
        this->unidentified[descriptor] = {.stream = stream, .timer = timer};
        this->loop.watch(
            descriptor,
            {.readable = true},
            [this, descriptor](loop::Readiness) {
                this->identify(descriptor);
            },
            this->settings.priority);
        this->watchAcceptor();
    }
}

ACE_SOCK_Stream FrameServer::release(int descriptor)
{
    const Unidentified released = this->unidentified.extract(descriptor).mapped();
    this->loop.cancel(released.timer);
    this->loop.unwatch(descriptor);
    this->watchAcceptor();
    return released.stream;
}

void FrameServer::identify(int descriptor)
{
    std::array<char, Http2Preface.size()> start{};
    const ssize_t size = ::recv(descriptor, start.data(), start.size(), MSG_PEEK);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (size <= 0) {
        this->release(descriptor).close();
        return;
    }
    const std::string_view received(start.data(), static_cast<std::size_t>(size));
    if (FramePreface.starts_with(received)) {
        this->events.accepted(FrameSocket::accept(
            this->loop, this->release(descriptor), this->settings.maxFrameBytes, this->settings.priority));
    } else if (received == Http2Preface && this->events.http2) {
        this->events.http2(this->release(descriptor).get_handle());
    } else {
        Log.event(loop::LogLevel::Warn, "connection closed").with("why", "unknown protocol");
        this->release(descriptor).close();
    }
}

} // namespace bergamotweir::rpc
