#pragma once

#include "net/Exchange.h"

namespace bergamotweir::net {

class PipelineConnection;

/** A request on a PipelineConnection, from its last byte until its answer is written. Shared with the handler. */
class PipelineExchange : public Exchange
{
public:
    enum class State {
        /** Complete, and behind a request that must be answered first. */
        Waiting,
        HandedOver,
        Answered,
        Abandoned,
    };

    /** @param connection writes the answer; the exchange may outlive it */
    PipelineExchange(std::weak_ptr<PipelineConnection> connection, HttpRequest request);

    void answer(HttpAnswer answer) override;
    bool isAbandoned() const override;

    /** Called when the connection is closed before the answer. @param runTask whether to run the abandoned task */
    void abandon(bool runTask);

    State state = State::Waiting;
    HttpAnswer pendingAnswer;
    /** The connection is closed after this request's answer. */
    bool isLast = false;
    /** The request was passed to the handler; false for those that the server refuses itself. */
    bool wasHandedOver = false;

private:
    std::weak_ptr<PipelineConnection> connection;
};

} // namespace bergamotweir::net
