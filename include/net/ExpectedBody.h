#pragma once

#include "net/HttpAnswer.h"
#include "net/HttpRequest.h"

#include <cstddef>
#include <functional>

namespace bergamotweir::net {

/**
 * A request whose header fields were read and whose caller waits for "100 Continue" before it sends the body.
 * Shared between the server and whoever admits bodies; used on the loop's thread only.
 */
class ExpectedBody
{
public:
    ExpectedBody() = default;
    virtual ~ExpectedBody() = default;
    ExpectedBody(const ExpectedBody &) = delete;
    ExpectedBody &operator=(const ExpectedBody &) = delete;

    /** @return the request without its body */
    virtual const HttpRequest &head() const = 0;

    /** @return bytes of the body, as the caller states them */
    virtual std::size_t length() const = 0;

    /** Lets the caller send the body; without effect once it went away. */
    virtual void proceed() = 0;

    /** Answers the request in place of proceed(); without effect once the caller went away. */
    virtual void refuse(HttpAnswer answer) = 0;

    /** Sets what to do when the body was read whole (true), or its caller is gone (false); called once. */
    void onEnded(std::function<void(bool whole)> task)
    {
        this->endedTask = std::move(task);
    }

protected:
    std::function<void(bool)> endedTask;
};

} // namespace bergamotweir::net
