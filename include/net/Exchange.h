#pragma once

#include "net/HttpAnswer.h"
#include "net/HttpRequest.h"

#include <functional>
#include <memory>

namespace bergamotweir::net {

/**
 * A request received by a server, from its last byte until it is answered.
 * Shared between the server and the handler that answers it; used on the loop's thread only.
 * May outlive the server; answering then has no effect.
 */
class Exchange
{
public:
    Exchange() = default;
    virtual ~Exchange() = default;
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    /** @return the complete request */
    const HttpRequest &request() const
    {
        return this->received;
    }

    /**
     * Answers the request. Called exactly once, possibly from within the server's handler.
     * Has no effect after the caller has disconnected.
     */
    virtual void answer(HttpAnswer answer) = 0;

    /** @return whether the caller closed its side of the connection before the answer */
    virtual bool isAbandoned() const = 0;

    /**
     * Sets the task that runs when the caller disconnects before the answer. The task runs at most once, never after
     * answer(). A caller that shuts down only its sending side counts as disconnected, because it cannot be told from
     * one that was killed.
     */
    void onAbandoned(std::function<void()> task)
    {
        this->abandonedTask = std::move(task);
    }

protected:
    HttpRequest received;
    std::function<void()> abandonedTask;
};

} // namespace bergamotweir::net
