#pragma once

#include "net/Exchange.h"

namespace bergamotweir::net {

class PipelineConnection;

/** A request on a PipelineConnection, from its last byte until its answer is written. Shared with the handler. */
class PipelineExchange : public Exchange
{
public:
    enum class State {
        /** Whole, and behind one that must end first. */
        Waiting,
        HandedOver,
        Answered,
        Abandoned,
    };

    /** @param connection where the answer goes; the exchange may outlive it */
    PipelineExchange(std::weak_ptr<PipelineConnection> connection, HttpRequest request);

    void answer(HttpAnswer answer) override;
    bool isAbandoned() const override;

    /** The connection ended before the answer. @param tell whether to run the abandoned task */
    void abandon(bool tell);

    State state = State::Waiting;
    HttpAnswer outgoing;
    /** The connection ends after this request's answer. */
    bool last = false;
    /** A handler got it; an answer of the server's own never had one. */
    bool handedOver = false;

private:
    std::weak_ptr<PipelineConnection> connection;
};

} // namespace bergamotweir::net
