#pragma once

#include "base/BootClock.h"

#include <cstdint>
#include <string>

namespace bergamotweir::load {

/** Result of a request as its caller sees it. */
enum class Verdict {
    Pending,
    /** A 2xx answer that echoes the request's Test-Id. */
    Answered,
    /** Refused with Request-Ran: no. */
    RefusedNo,
    /** Refused with Request-Ran: unknown. */
    RefusedUnknown,
    /** Refused with Request-Ran: yes. */
    RefusedYes,
    /** A status of 300 or above without Request-Ran: an answer of the upstream itself. */
    Error,
    /** No complete answer within the time-out. */
    TimedOut,
    /** The connection to the target could not be opened. */
    NotSent,
    /** The connection was lost or the call cancelled, or the answer was truncated or too large. */
    IncompleteAnswer,
    /** A 2xx answer that does not echo the request's Test-Id. */
    Wrong,
};

/** @return the name used in reports */
const char *toText(Verdict verdict);

enum class Kind {
    UnkeyedGet,
    KeyedGet,
    KeyedPost,
};

/** @return the name used in reports */
const char *toText(Kind kind);

/** One request of the load. */
struct Outcome {
    std::uint64_t number = 0;
    Kind kind = Kind::UnkeyedGet;
    unsigned key = 0;
    bool hasIdempotencyKey = false;
    bool isResent = false;
    BootTime intendedAt;
    BootTime endedAt;
    int status = 0;
    Verdict verdict = Verdict::Pending;
    /** Result of the second send of a resent request. */
    Verdict secondVerdict = Verdict::Pending;
};

} // namespace bergamotweir::load
