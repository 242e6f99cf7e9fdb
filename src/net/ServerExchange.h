#pragma once

#include "net/Exchange.h"
#include "net/ExpectedBody.h"

#include <cstdint>

struct MHD_Connection;

namespace bergamotweir::net {

/** What an exchange needs of the server; outlived by exchanges, which then hold no pointer to it. */
struct ExchangeHost {
    /** Requests handed over whose answer has not been written whole. */
    std::size_t inProgress = 0;
    /** Makes libmicrohttpd look at its connections in the loop's next turn. */
    std::function<void()> runSoon;
};

/**
 * The server's side of an Exchange. Owned by libmicrohttpd's request context from the request line on, and shared
 * with the handler once the request is whole.
 */
class ServerExchange : public Exchange, public ExpectedBody
{
public:
    enum class State {
        Receiving,
        /** The body is larger than allowed and is read only to be thrown away. */
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

    /** The caller waits for "100 Continue": the connection is to be suspended until proceed() or refuse(). */
    void awaitBody(ExchangeHost &to, std::size_t length);

    /** Tells whoever admitted the body that it ended, once. */
    void endBody(bool whole);

    /** Hands the whole request over; the connection is to be suspended afterwards if the state is HandedOver. */
    void handOver(ExchangeHost &to, const std::function<void(std::shared_ptr<Exchange>)> &handler);

    /** The caller went away: wakes the connection, so that it is closed, and runs the abandoned task. */
    void abandon();

    /** The server ends: the answer, if one comes, has nowhere to go. */
    void detach();

    MHD_Connection *connection = nullptr;
    std::uint64_t connectionId = 0;
    State state = State::Receiving;
    bool suspended = false;
    /** proceed() or refuse() is still to come. */
    bool bodyHeld = false;
    /** Suspended before its body; libmicrohttpd calls once more before it reads that. */
    bool awaitsBody = false;
    bool started = false;
    std::size_t bodyBytes = 0;
    HttpAnswer outgoing;
    std::weak_ptr<ServerExchange> self;

    HttpRequest &mutableRequest()
    {
        return this->received;
    }

private:
    void wake();
    ExchangeHost *host = nullptr;
    /** Counted in the host's requests in progress. */
    bool counted = false;
    std::size_t expectedBytes = 0;
};

} // namespace bergamotweir::net
