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

/** State that the connections of one server share; outlives them. */
struct PipelineHost {
    loop::EventLoop &loop;
    HttpServerSettings settings;
    std::function<void(std::shared_ptr<Exchange>)> handler;
    /** Called when a connection was closed and can be removed. */
    std::function<void(PipelineConnection *)> onClosed;
    /** Number of requests passed to the handler whose answer has not been written completely. */
    std::size_t inProgress = 0;
};

/**
 * A connection with HTTP pipelining: reads requests while earlier ones are processed, and writes the answers in the
 * order of the requests. Owned by its server; exchanges hold it weakly.
 *
 * Requests are processed concurrently only while all of them are safe (GET, HEAD, OPTIONS). Any other request waits for
 * all before it and delays all behind it, so that effects keep the order in which they were sent.
 */
class PipelineConnection : public std::enable_shared_from_this<PipelineConnection>
{
public:
    /** @param stream connected and non-blocking; the connection takes ownership */
    PipelineConnection(PipelineHost &host, const ACE_SOCK_Stream &stream, std::string peer);
    ~PipelineConnection();
    PipelineConnection(const PipelineConnection &) = delete;
    PipelineConnection &operator=(const PipelineConnection &) = delete;

    /** Starts to watch the socket for requests. */
    void start();

    /** Passes the requests that may be processed to the handler, and writes the answers that are next in order. */
    void process();

    /** Accepts no further request and closes the connection, now or after the last outstanding answer. */
    void drain();

    /** Closes the connection if no byte was transferred for too long. */
    void closeIfIdle(BootTime now);

    /** Closes the socket. @param runAbandonedTasks whether to run the abandoned tasks of requests in progress */
    void disconnect(bool runAbandonedTasks);

private:
    void onReady(loop::Readiness ready);
    void watch();
    bool readSocket();
    void parse();
    void enqueueParsed();
    void enqueue(HttpRequest request, bool isLast);
    void enqueueRefusal(HttpAnswer answer, bool isLast);
    bool handOverReady();
    bool canHandOver(std::size_t index) const;
    bool writeReadyAnswers();
    void sendContinue();
    bool flush();
    void closeSendingSide();

    PipelineHost &host;
    ACE_SOCK_Stream stream;
    std::string peer;
    RequestParser parser;
    /** Bytes received and not parsed yet, because the maximum number of requests is in flight. */
    std::string receiveBuffer;
    std::string sendBuffer;
    std::deque<std::shared_ptr<PipelineExchange>> exchanges;
    /** Number of answers from handlers that have not been sent completely. */
    std::size_t unsentAnswers = 0;
    loop::Readiness watched;
    /** When a byte was last received or sent. */
    BootTime lastActivityAt;
    bool isProcessing = false;
    /** "100 Continue" was sent for the request that is being read. */
    bool isContinueSent = false;
    /** The request that is being read is the last one to be accepted. */
    bool isReadingLastRequest = false;
    /** No further request is accepted. */
    bool isClosing = false;
    /** All answers were sent and the sending side is closed; the caller has not closed its side yet. */
    bool isSendingSideClosed = false;
    bool isClosed = false;
};

} // namespace bergamotweir::net
