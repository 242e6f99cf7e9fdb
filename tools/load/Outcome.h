#pragma once

#include "base/BootClock.h"

#include <cstdint>
#include <string>

namespace bergamotweir::load {

/** What a caller learned of its request. */
enum class Verdict {
    Pending,
    /** A 2xx answer that echoes the request's own id. */
    Answered,
    /** Refused by the system with Request-Ran: no, unknown or yes. */
    RefusedNo,
    RefusedUnknown,
    RefusedYes,
    /** An answer of 300 and above that the upstream gave itself. */
    Error,
    /** No whole answer in time. */
    TimedOut,
    /** The connection could not be opened: the agent is gone. */
    NotSent,
    /** The connection broke, or the answer was short. */
    Broken,
    /** A 2xx answer to some other request. */
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
    bool withIdempotencyKey = false;
    bool resent = false;
    BootTime intended;
    BootTime ended;
    int status = 0;
    Verdict verdict = Verdict::Pending;
    /** Of the second send, when resent. */
    Verdict second = Verdict::Pending;
};

} // namespace bergamotweir::load
