#pragma once

#include "net/HttpAnswer.h"

#include <chrono>

namespace bergamotweir::net {

/** How a call ended. */
enum class CallOutcome {
    /** A whole answer of any status. */
    Answered,
    /** Provably no byte of the request reached the peer: refused, connect timeout, given up before the connection. */
    NotSent,
    /** The connection broke before the whole header of an answer; the request may have reached the peer. */
    ConnectionLost,
    /** The answer's body ended early, or had no stated length so that its end can't be told from a crash. */
    TruncatedAnswer,
    /** The answer's body was larger than allowed. */
    TooLarge,
    /** No whole answer in time; the request may have reached the peer. */
    TimedOut,
    /** cancel() was called. */
    Cancelled,
};

/** @return the end's name, for logs */
const char *toText(CallOutcome outcome);

/** What became of an HttpCall. */
struct CallResult {
    CallOutcome outcome = CallOutcome::NotSent;
    /** False only if provably no byte of the request was sent. */
    bool mayHaveRun = false;
    /** Set only if the end is Answered. */
    HttpAnswer answer;
    /** Since send(). */
    std::chrono::nanoseconds elapsed{0};
};

} // namespace bergamotweir::net
