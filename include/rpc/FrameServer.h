#pragma once

#include "base/Result.h"
#include "loop/EventLoop.h"
#include "rpc/FrameSocket.h"

#include <ace/SOCK_Acceptor.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bergamotweir::rpc {

/** Where and how a FrameServer listens. */
struct FrameServerSettings {
    /** IP address to bind to. */
    std::string address;
    /** TCP port; 0 lets the kernel choose one. */
    std::uint16_t port = 0;
    /** Maximum size of a received payload in bytes. */
    std::size_t maxFrameBytes = 0;
    /** Maximum number of connections that have sent no preface yet; further ones wait in the kernel's backlog. */
    std::size_t maxUnidentified = 1024;
    /** Order in which the loop serves the server and its connections. */
    loop::WatchPriority priority = loop::WatchPriority::Normal;
};

/** Callbacks of a FrameServer, on the loop's thread. */
struct FrameServerEvents {
    /** A peer that sends frames has connected. */
    std::function<void(std::shared_ptr<FrameSocket>)> accepted;
    /** An HTTP/2 client has connected; the callback takes ownership of the descriptor. If unset, it is closed. */
    std::function<void(int descriptor)> http2;
};

/**
 * Accepts the connections of one port and tells from their first bytes whether they carry frames or HTTP/2.
 * Used on the loop's thread.
 */
class FrameServer
{
public:
    /** @param loop outlives the server @return the listening server, or the reason why it could not listen */
    static Result<std::unique_ptr<FrameServer>>
    listen(loop::EventLoop &loop, FrameServerSettings settings, FrameServerEvents events);

    /** Stops listening; accepted connections stay open. */
    ~FrameServer();
    FrameServer(const FrameServer &) = delete;
    FrameServer &operator=(const FrameServer &) = delete;

    /** @return the TCP port that the server listens on */
    std::uint16_t port() const;

private:
    /** A connection whose protocol is not known yet. */
    struct Unidentified {
        ACE_SOCK_Stream stream;
        loop::TimerId timer = 0;
    };

    FrameServer(loop::EventLoop &loop, FrameServerSettings settings, FrameServerEvents events);
    Findings start();
    void watchAcceptor();
    void accept();
    void identify(int descriptor);
    ACE_SOCK_Stream release(int descriptor);

    loop::EventLoop &loop;
    FrameServerSettings settings;
    FrameServerEvents events;
    ACE_SOCK_Acceptor acceptor;
    std::uint16_t boundPort = 0;
    bool isAccepting = false;
    std::map<int, Unidentified> unidentified;
};

} // namespace bergamotweir::rpc
