#pragma once

#include "net/Exchange.h"
#include "net/HttpServerSettings.h"

namespace bergamotweir::loop {
class EventLoop;
}

namespace bergamotweir::net {

/**
 * HTTP/1.1 server (ACE sockets, http-parser) for callers who send requests ahead: safe requests of one connection are
 * worked on side by side, and answered in their order. In all else it is like HttpServer, which works on one request
 * of a connection at a time: libmicrohttpd doesn't read the next one before that.
 *
 * Gain: a read that was sent ahead doesn't wait for the work on those before it.
 */
class PipelineServer
{
public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;

    /**
     * Binds and starts to accept.
     * @param loop outlives the server
     * @param settings bounds and address
     * @param handler called on the loop's thread with each whole request
     * @return the server, or why it could not listen
     */
    static Result<std::unique_ptr<PipelineServer>>
    listen(loop::EventLoop &loop, const HttpServerSettings &settings, Handler handler);

    /** Closes all connections; answers not given yet are lost, their onAbandoned tasks are not called. */
    ~PipelineServer();
    PipelineServer(const PipelineServer &) = delete;
    PipelineServer &operator=(const PipelineServer &) = delete;

    /** @return the port bound to */
    std::uint16_t port() const;

    /** @return how many requests have been handed over and not ended: an answer counts until its last byte is written
     */
    std::size_t inProgress() const;

    /** Closes the listening socket; open connections end with the last answer that is outstanding. */
    void stopAccepting();

private:
    struct Parts;
    explicit PipelineServer(std::unique_ptr<Parts> parts);
    std::unique_ptr<Parts> parts;
};

} // namespace bergamotweir::net
