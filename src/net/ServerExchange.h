#pragma once

#include "net/Exchange.h"
#include "net/ExpectedBody.h"

#include <cstdint>

struct MHD_Connection;

namespace bergamotweir::net {

/** The part of the server that exchanges use. They may outlive it; detach() clears their pointer to it. */
struct ExchangeHost {
    /** Number of requests passed to the handler whose answer has not been written completely. */
    std::size_t inProgress = 0;
    /** Runs libmicrohttpd in the next loop iteration. */
    std::function<void()> runSoon;
};

/**
 * A request of HttpServer. Owned by libmicrohttpd's request context from the request line on, and shared with the
 * handler when the request is complete.
 */
class ServerExchange : public Exchange, public ExpectedBody
{
public:
    enum class State {
        Receiving,
        /** The body is larger than allowed and is read only to be discarded. */
        Discarding,
        HandedOver,
        Answered,
        Abandoned,
    };

    void answer(HttpAnswer answer) override;
    bool isAbandoned() const override;

    const HttpRequest &head() const override;
    std::size_t length() const override;
    void proceed() override;
    void refuse(HttpAnswer answer) override;

    /**
     * Holds the body of a caller that waits for "100 Continue". The connection must be suspended until proceed() or
     * refuse().
     */
    void holdBody(ExchangeHost &to, std::size_t length);

    /** Runs the task of onEnded(), once. */
    void notifyBodyEnded(bool whole);

    /**
     * Passes the complete request to the handler. The connection must be suspended afterwards if the state is
     * HandedOver.
     */
    void handOver(ExchangeHost &to, const std::function<void(std::shared_ptr<Exchange>)> &handler);

    /**
     * Called when the caller has disconnected: resumes the connection, so that it is closed, and runs the abandoned
     * task.
     */
    void abandon();

    /** Called when libmicrohttpd ends the request or the server is destroyed: a later answer has no effect. */
    void detach();

    MHD_Connection *connection = nullptr;
    std::uint64_t connectionId = 0;
    State state = State::Receiving;
    bool isSuspended = false;
    /** Neither proceed() nor refuse() has been called for the held body. */
    bool isBodyHeld = false;
    /** Suspended before its body; libmicrohttpd calls the access handler once more before it reads the body. */
    bool isSuspendedBeforeBody = false;
    bool isHeaderRead = false;
    std::size_t bodyBytes = 0;
    HttpAnswer pendingAnswer;
    std::weak_ptr<ServerExchange> self;

    HttpRequest &mutableRequest()
    {
        return this->received;
    }

private:
    void resume();
    ExchangeHost *host = nullptr;
    /** Whether the request is counted in the host's inProgress. */
    bool isCounted = false;
    std::size_t statedBodyBytes = 0;
};

} // namespace bergamotweir::net
