#pragma once

#include "net/HttpAnswer.h"
#include "net/HttpRequest.h"

#include <functional>
#include <memory>

namespace bergamotweir::net {

/**
 * One request in the server, from its last byte to its answer.
 * Shared between the server and whoever works on the answer; used on the loop's thread only.
 * May outlive the server; answering is then without effect.
 */
class Exchange
{
public:
    Exchange() = default;
    virtual ~Exchange() = default;
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    /** @return the whole request */
    const HttpRequest &request() const
    {
        return this->received;
    }

    /**
     * Answers the request, exactly once; may be called from within the server's handler.
     * Without effect once the caller went away.
     */
    virtual void answer(HttpAnswer answer) = 0;

    /** @return true once the caller closed its side of the connection before the answer */
    virtual bool isAbandoned() const = 0;

    /**
     * Sets what to do when the caller goes away before the answer. Called at most once, never after answer().
     * A caller that only shuts down its sending side counts as gone: it cannot be told from one that was killed.
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
