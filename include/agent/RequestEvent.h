#pragma once

#include "agent/AttemptOutcome.h"

#include <cstdint>

namespace bergamotweir::agent {

/** Kind of an event in the life of a request. */
enum class EventKind {
    Accepted,
    /** The request's fingerprint is quarantined, as it crashed two upstreams before. */
    FoundQuarantined,
    /** Control answered the claim; claim has the answer. */
    ClaimAnswered,
    /** Result of a Route action in upstream and local; upstream 0 means that there is none at present. */
    Routed,
    /** The routes changed, or the delay of a Wait action is over. */
    Woken,
    /** The number of waiting requests is at its upper bound. */
    WaitRefused,
    /** The local gate admitted the attempt. */
    Admitted,
    /** The attempt ended, as given in outcome and mayHaveRun. */
    AttemptEnded,
    HedgeDue,
    DeadlinePassed,
    CallerDisconnected
};

/** Control's answer to a claim; mirrors wire::ClaimVerdict, with two values for a recorded answer. */
enum class ClaimAnswer {
    Granted,
    /** Another attempt holds the claim and has not ended. */
    InProgress,
    /** The recorded answer follows. */
    Recorded,
    /** An answer is recorded, but without its body. */
    RecordedWithoutBody,
    /** The id is claimed by a different request. */
    Conflict,
    Unknown,
    /** Control stores its maximum number of claims, and none of them has this id. */
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
