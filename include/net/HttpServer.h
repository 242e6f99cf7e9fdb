#pragma once

#include "net/Exchange.h"
#include "net/ExpectedBody.h"
#include "net/HttpServerSettings.h"

#include <functional>
#include <memory>
#include <optional>

namespace bergamotweir::loop {
class EventLoop;
}

namespace bergamotweir::net {

/**
 * HTTP/1.1 server (libmicrohttpd) that runs on the event loop's thread.
 * Hands over whole, bounded requests. What it refuses itself (431, 413) is application/problem+json with
 * Request-Ran: no; bytes that are not HTTP at all get libmicrohttpd's bare 400 and the connection is closed.
 */
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;
    /** Returns the answer that refuses the body, or nothing: then the body waits for ExpectedBody::proceed(). */
    using BodyAdmission = std::function<std::optional<HttpAnswer>(const std::shared_ptr<ExpectedBody> &)>;

    /**
     * Binds and starts to accept.
     * @param loop outlives the server
     * @param settings bounds and address
     * @param handler called on the loop's thread with each whole request
     * @return the server, or why it could not listen
     */
    static Result<std::unique_ptr<HttpServer>>
    listen(loop::EventLoop &loop, const HttpServerSettings &settings, Handler handler);

    /** Closes all connections; answers not given yet are lost, their onAbandoned tasks are not called. */
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** @return the port bound to */
    std::uint16_t port() const;

    /**
     * @return how many requests have been handed over and not ended: an answer counts until its last byte is written,
     * so that a process which stops at 0 cuts nothing off
     */
    std::size_t inProgress() const;

    /**
     * Sets who decides on bodies that callers announce with "Expect: 100-continue"; without it all may come.
     * @param admission called on the loop's thread once the header fields are read
     */
    void admitBodies(BodyAdmission admission);

    /** Closes the listening socket; open connections are closed after their next answer. */
    void stopAccepting();

private:
    struct Parts;
    explicit HttpServer(std::unique_ptr<Parts> parts);
    std::unique_ptr<Parts> parts;
};

} // namespace bergamotweir::net
