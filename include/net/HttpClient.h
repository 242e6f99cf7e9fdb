#pragma once

#include "net/CallResult.h"
#include "net/HttpCall.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace bergamotweir::loop {
class EventLoop;
}

namespace bergamotweir::net {

/** Identifies a call; 0 is never used. */
using CallId = std::uint64_t;

/** Bounds of one HttpClient. */
struct HttpClientSettings {
    /** Maximum number of idle connections kept for reuse, over all peers. */
    unsigned maxIdleConnections = 1024;
    /** Maximum number of connections to one peer; further calls wait for one, within their time-outs. */
    unsigned maxConnectionsPerPeer = 128;
    /** An idle connection older than this is not reused; shorter than the idle time-out of the servers. */
    std::chrono::seconds maxIdleAge{20};
};

/**
 * HTTP/1.1 client (libcurl multi) that runs on the event loop's thread.
 * Sends each call at most once, whatever its method: a request is never sent again on another connection, so retries
 * are left to the user of this class. A connection with an outstanding answer is closed, never reused.
 */
class HttpClient
{
public:
    using Done = std::function<void(CallResult)>;

    /** @param loop must outlive the client */
    explicit HttpClient(loop::EventLoop &loop, const HttpClientSettings &settings = {});

    /** Ends all calls; their callbacks are not called. */
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
     * Sends a request.
     * @param call the request and its peer; header fields that belong to a connection or contain control characters
     * are left out
     * @param done called exactly once on the loop's thread, never from within send()
     * @return the call's id
     */
    CallId send(HttpCall call, Done done);

    /**
     * Cancels a call: closes its connection and calls its callback with Cancelled in a later loop iteration, never from
     * within cancel(). Has no effect on a call that has ended.
     */
    void cancel(CallId call);

    /** @return number of connections opened since the client was created */
    std::uint64_t connectionsOpened() const;

    /** @return number of calls that were passed to send() and have not ended */
    std::size_t inProgress() const;

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace bergamotweir::net
