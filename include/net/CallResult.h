#pragma once

#include "net/HttpAnswer.h"

#include <chrono>

namespace bergamotweir::net {

/** How a call ended. */
enum class CallOutcome {
    /** A complete answer of any status was received. */
    Answered,
    /**
     * Provably no byte of the request reached the peer: the connection was refused, was not established in time, or
     * the call ended before there was a connection.
     */
    NotSent,
    /** The connection was lost before a complete answer header was read; the request may have reached the peer. */
    ConnectionLost,
    /** The answer's body ended early, or its end cannot be told from a crash because no length was stated. */
    TruncatedAnswer,
    /** The answer's body was larger than allowed. */
    TooLarge,
    /** No complete answer arrived before the time-out; the request may have reached the peer. */
    TimedOut,
    /** cancel() was called. */
    Cancelled,
};

/** @return the outcome's name, for logs */
const char *toText(CallOutcome outcome);

/** The outcome of an HttpCall and, if there is one, its answer. */
struct CallResult {
    CallOutcome outcome = CallOutcome::NotSent;
    /** False only if provably no byte of the request was sent. */
    bool mayHaveRun = false;
    /**
     * Whether the peer's VM refused the connection, so that no process listens at the address. A connection that was
     * reset, or could not be opened for want of descriptors, is not refused.
     */
    bool isRefused = false;
    /** Set only if the outcome is Answered. */
    HttpAnswer answer;
    /** Time since send(). */
    std::chrono::nanoseconds elapsed{0};
};

} // namespace bergamotweir::net
