#pragma once

#include "net/Exchange.h"
#include "net/HttpServerSettings.h"

namespace bergamotweir::loop {
class EventLoop;
}

namespace bergamotweir::net {

/**
 * HTTP/1.1 server (ACE sockets, http-parser) with pipelining: safe requests of one connection are processed
 * concurrently and answered in the order in which they were sent. Otherwise it behaves as HttpServer, which processes
 * one request of a connection at a time, because libmicrohttpd does not read the next one before.
 *
 * A pipelined read therefore does not wait until the requests before it are processed.
 */
class PipelineServer
{
public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;

    /**
     * Binds to the address and starts to accept connections.
     * @param loop must outlive the server
     * @param settings address and bounds
     * @param handler called on the loop's thread with each complete request
     * @return the server, or why it could not listen
     */
    static Result<std::unique_ptr<PipelineServer>>
    listen(loop::EventLoop &loop, const HttpServerSettings &settings, Handler handler);

    /** Closes all connections. Requests without an answer get none, and their onAbandoned tasks are not called. */
    ~PipelineServer();
    PipelineServer(const PipelineServer &) = delete;
    PipelineServer &operator=(const PipelineServer &) = delete;

    /** @return the port bound to */
    std::uint16_t port() const;

    /**
     * @return number of requests passed to the handler that have not ended; a request counts until the last byte of
     * its answer is written
     */
    std::size_t inProgress() const;

    /** Closes the listening socket; each open connection is closed after its last outstanding answer. */
    void stopAccepting();

private:
    struct Parts;
    explicit PipelineServer(std::unique_ptr<Parts> parts);
    std::unique_ptr<Parts> parts;
};

} // namespace bergamotweir::net
