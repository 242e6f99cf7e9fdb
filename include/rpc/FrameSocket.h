#pragma once

#include "base/BootClock.h"
#include "loop/EventLoop.h"
#include "rpc/FrameReader.h"

#include <ace/SOCK_Stream.h>
#include <google/protobuf/message_lite.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bergamotweir::rpc {

/** First bytes that each side of a connection sends; they name the protocol and its version. */
inline constexpr std::string_view FramePreface = "BWFRAME1";

/** A frame with its header; shared by all connections on which it is sent. */
using Frame = std::shared_ptr<const std::string>;

/** @return the message as a frame */
Frame makeFrame(const google::protobuf::MessageLite &message);

/** Callbacks of a FrameSocket, on the loop's thread; each may close the socket. */
struct FrameSocketEvents {
    /** A frame arrived; the payload is valid during the call. */
    std::function<void(std::string_view payload)> frame;
    /** The connection failed or the peer closed it; not called after close(). */
    std::function<void()> closed;
    /** Queued frames were written; queuedBytes() has decreased. */
    std::function<void()> written = {};
};

/**
 * A TCP connection between two processes of the system that carries frames.
 * A connection is ready once the peer has sent its preface: the kernel of a frozen VM still completes connections.
 * Shared by its owner and by the loop's watch; used on the loop's thread.
 */
class FrameSocket : public std::enable_shared_from_this<FrameSocket>
{
public:
    /**
     * Starts to connect. The loop serves the socket with high priority.
     * @param loop outlives the socket
     * @param address IP:port of the peer
     * @param maxFrameBytes maximum size of a received payload
     * @return the socket, which is already closed if the connection can't be attempted
     */
    static std::shared_ptr<FrameSocket>
    connect(loop::EventLoop &loop, const std::string &address, std::size_t maxFrameBytes);

    /**
     * Takes over an accepted connection.
     * @param stream connected and non-blocking
     * @param priority order in which the loop serves the socket
     */
    static std::shared_ptr<FrameSocket> accept(loop::EventLoop &loop,
                                               const ACE_SOCK_Stream &stream,
                                               std::size_t maxFrameBytes,
                                               loop::WatchPriority priority);

    ~FrameSocket();
    FrameSocket(const FrameSocket &) = delete;
    FrameSocket &operator=(const FrameSocket &) = delete;

    /** Replaces the callbacks; frames that arrive without callbacks are dropped. */
    void setEvents(FrameSocketEvents value);

    /** Queues a frame; frames queued in one iteration of the loop are written together. Dropped once closed. */
    void send(Frame frame);

    /** Closes the connection; no callback runs after this. */
    void close();

    /** Closes the connection once all queued frames have been written. */
    void closeWhenSent();

    bool isReady() const;
    bool isClosed() const;

    /** @return size of the frames that have not been written, in bytes, and their number */
    std::size_t queuedBytes() const;
    std::size_t queuedFrames() const;

    /** @return size in bytes of what has arrived and has not been read; 0 once closed */
    std::size_t unreadBytes() const;

    /** @return when bytes were last read; the time of creation if none have been */
    BootTime lastReceivedAt() const;

private:
    FrameSocket(loop::EventLoop &loop, std::size_t maxFrameBytes, loop::WatchPriority priority);
    void watch(bool writable);
    void onReady(loop::Readiness ready);
    void scheduleFlush();
    void flush();
    void read();
    bool readPreface();
    void handleFrames();
    void fail();

    loop::EventLoop &loop;
    const loop::WatchPriority priority;
    ACE_SOCK_Stream stream;
    FrameReader reader;
    FrameSocketEvents events;
    /** Frames to write; the first sentBytes of the front have been written. */
    std::deque<Frame> queue;
    std::size_t sentBytes = 0;
    std::size_t bytesQueued = 0;
    BootTime receivedAt;
    bool isOpen = false;
    /** Whether the connection has been established. */
    bool isConnected = false;
    bool hasPreface = false;
    bool flushScheduled = false;
    bool watchesWritable = false;
    bool closesWhenSent = false;
};

} // namespace bergamotweir::rpc
