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
 * Passes complete requests of bounded size to its handler. Requests that it refuses itself (431, 413) are answered with
 * application/problem+json and Request-Ran: no. Bytes that are not HTTP are answered with libmicrohttpd's bare 400, and
 * the connection is closed.
 */
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;
    /** Returns an answer to refuse the body, or nullopt to hold it until ExpectedBody::proceed() or refuse(). */
    using BodyAdmission = std::function<std::optional<HttpAnswer>(const std::shared_ptr<ExpectedBody> &)>;

    /**
     * Binds to the address and starts to accept connections.
     * @param loop must outlive the server
     * @param settings address and bounds
     * @param handler called on the loop's thread with each complete request
     * @return the server, or why it could not listen
     */
    static Result<std::unique_ptr<HttpServer>>
    listen(loop::EventLoop &loop, const HttpServerSettings &settings, Handler handler);

    /** Closes all connections. Requests without an answer get none, and their onAbandoned tasks are not called. */
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** @return the port bound to */
    std::uint16_t port() const;

    /**
     * @return number of requests passed to the handler that have not ended. A request counts until the last byte of its
     * answer is written, so a process that exits at 0 truncates no answer
     */
    std::size_t inProgress() const;

    /**
     * Sets the function that decides on bodies announced with "Expect: 100-continue"; without one all are accepted.
     * @param admission called on the loop's thread when the header fields have been read
     */
    void admitBodies(BodyAdmission admission);

    /** Closes the listening socket and idle connections; other connections are closed after their next answer. */
    void stopAccepting();

private:
    struct Parts;
    explicit HttpServer(std::unique_ptr<Parts> parts);
    std::unique_ptr<Parts> parts;
};

} // namespace bergamotweir::net
