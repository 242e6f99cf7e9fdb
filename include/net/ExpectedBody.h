#pragma once

#include "net/HttpAnswer.h"
#include "net/HttpRequest.h"

#include <cstddef>
#include <functional>

namespace bergamotweir::net {

/**
 * A request whose header fields have been read and whose caller waits for "100 Continue" before it sends the body.
 * Shared between the server and the code that decides on admission of bodies; used on the loop's thread only.
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

    /** @return the length of the body in bytes, as stated by the caller */
    virtual std::size_t length() const = 0;

    /** Lets the caller send the body. Has no effect after the caller has disconnected. */
    virtual void proceed() = 0;

    /**
     * Answers the request without reading its body, in place of proceed(). Has no effect after the caller has
     * disconnected.
     */
    virtual void refuse(HttpAnswer answer) = 0;

    /**
     * Sets the task that runs once: with true when the whole body was read, with false when the request ended before
     * that, for example because the caller disconnected.
     */
    void onEnded(std::function<void(bool whole)> task)
    {
        this->endedTask = std::move(task);
    }

protected:
    std::function<void(bool)> endedTask;
};

} // namespace bergamotweir::net
