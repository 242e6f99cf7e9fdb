#pragma once

#include "base/BootClock.h"
#include "loop/EventLoop.h"
#include "net/PipelineExchange.h"
#include "net/RequestParser.h"

#include <ace/SOCK_Stream.h>

#include <deque>
#include <memory>
#include <string>

namespace bergamotweir::net {

/** What the connections of one server share; outlives them. */
struct PipelineHost {
    loop::EventLoop &loop;
    HttpServerSettings settings;
    std::function<void(std::shared_ptr<Exchange>)> handler;
    /** A connection has ended and may be forgotten. */
    std::function<void(PipelineConnection *)> ended;
    /** Requests handed over whose answer has not been written whole. */
    std::size_t inProgress = 0;
};

/**
 * One caller's connection: reads requests while earlier ones are worked on, and writes the answers in the order of the
 * requests. Owned by its server; exchanges hold it weakly.
 *
 * Requests are worked on side by side only while all of them are safe (GET, HEAD, OPTIONS). Any other waits for all
 * before it and holds up all behind it, so that effects keep the order in which they were sent.
 */
class PipelineConnection : public std::enable_shared_from_this<PipelineConnection>
{
public:
    /** @param stream connected and non-blocking; owned from here on */
    PipelineConnection(PipelineHost &host, const ACE_SOCK_Stream &stream, std::string peer);
    ~PipelineConnection();
    PipelineConnection(const PipelineConnection &) = delete;
    PipelineConnection &operator=(const PipelineConnection &) = delete;

    /** Starts to read. */
    void start();

    /** Hands over the requests that may be worked on, and writes the answers that are due. */
    void pump();

    /** Takes no further request: ends now, or with the last answer that is outstanding. */
    void stopTaking();

    /** Ends the connection if nothing came or went for too long. */
    void sweep(BootTime now);

    /** Closes the socket. @param tell whether those who work on its requests are told that their caller is gone */
    void end(bool tell);

private:
    void onReady(loop::Readiness ready);
    void watch();
    bool readSocket();
    void parse();
    void takeParsed();
    void take(HttpRequest request, bool last);
    void refuse(HttpAnswer answer, bool last);
    bool handOverDue();
    bool mayHandOver(std::size_t index) const;
    bool writeDue();
    void continueBody();
    bool flush();
    void finishSending();

    PipelineHost &host;
    ACE_SOCK_Stream stream;
    std::string peer;
    RequestParser parser;
    /** Bytes read and not parsed: behind as many requests as may be under way. */
    std::string unread;
    std::string unsent;
    std::deque<std::shared_ptr<PipelineExchange>> exchanges;
    /** Answers of handlers within the bytes that are not sent. */
    std::size_t answersUnsent = 0;
    loop::Readiness watched;
    /** When a byte last came or went. */
    BootTime lastMove;
    bool pumping = false;
    /** The caller was told to go on with the body that it is sending. */
    bool continued = false;
    /** The request that is being read is the last one to be taken. */
    bool takesOneMore = false;
    /** No further request is taken from it. */
    bool closing = false;
    /** Everything was sent; only the caller's end of it is awaited. */
    bool draining = false;
    bool over = false;
};

} // namespace bergamotweir::net
