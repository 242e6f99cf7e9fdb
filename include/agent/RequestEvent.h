#pragma once

#include "agent/AttemptOutcome.h"

#include <cstdint>

namespace bergamotweir::agent {

/** What may happen to a request. */
enum class EventKind {
    Accepted,
    /** Its fingerprint crashed two upstreams before. */
    FoundQuarantined,
    /** claim says what control answered. */
    ClaimAnswered,
    /** upstream and local say where a Route action led; upstream 0 means nowhere now. */
    Routed,
    /** Routes changed, or a pause is over. */
    Woken,
    /** No more requests may wait. */
    WaitRefused,
    /** The local gate let the attempt through. */
    Admitted,
    /** The attempt ended; end, mayHaveRun. */
    AttemptEnded,
    HedgeDue,
    DeadlinePassed,
    CallerDisconnected
};

/** What control said about a claim; mirrors wire::ClaimVerdict with the recorded cases told apart. */
enum class ClaimAnswer {
    Granted,
    /** Another attempt has it and hasn't ended. */
    InProgress,
    /** The recorded answer follows. */
    Recorded,
    /** Recorded, but without its body. */
    RecordedWithoutBody,
    /** Same id, other request. */
    Conflict,
    Unknown,
    /** Control has no room for another claim, and none under this id. */
    Full,
    Unavailable
};

/** One event; only the fields of its kind are set. */
struct RequestEvent {
    EventKind kind = EventKind::Accepted;
    ClaimAnswer claim = ClaimAnswer::Unavailable;
    std::uint32_t upstream = 0;
    bool local = false;
    unsigned attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::Answered;
    bool mayHaveRun = false;
};

} // namespace bergamotweir::agent
