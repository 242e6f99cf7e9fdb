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

/** Names a call; 0 is never used. */
using CallId = std::uint64_t;

/** What bounds one HttpClient. */
struct HttpClientSettings {
    /** Open connections kept for reuse, all peers together. */
    unsigned maxIdleConnections = 1024;
    /** Connections to one peer; further calls wait for one, within their timeouts. */
    unsigned maxConnectionsPerPeer = 128;
    /** An idle connection older than this is not reused; below the servers' idle timeout. */
    std::chrono::seconds maxIdleAge{20};
};

/**
 * HTTP/1.1 client (libcurl multi) that runs on the event loop's thread.
 * Sends each call at most once, whatever its method: nothing is ever sent again on another connection, so retries
 * are the decision of the one who sends. A connection whose answer is outstanding is closed, never reused.
 */
class HttpClient
{
public:
    using Done = std::function<void(CallResult)>;

    /** @param loop outlives the client */
    explicit HttpClient(loop::EventLoop &loop, const HttpClientSettings &settings = {});

    /** Ends all calls; their callbacks are not called. */
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
     * Sends a request.
     * @param call what to send where; header fields of the connection and with control characters are left out
     * @param done called exactly once on the loop's thread, never from within send()
     * @return the call's name
     */
    CallId send(HttpCall call, Done done);

    /**
     * Gives a call up: its connection is closed and its callback is called soon with Cancelled, never from within
     * cancel(). A call that has ended is ignored.
     */
    void cancel(CallId call);

    /** @return connections opened since the start */
    std::uint64_t connectionsOpened() const;

    /** @return calls sent and not ended */
    std::size_t inProgress() const;

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace bergamotweir::net
