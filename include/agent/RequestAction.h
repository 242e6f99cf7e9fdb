#pragma once

#include "agent/RequestState.h"

#include <chrono>
#include <optional>

namespace bergamotweir::agent {

/** What the owner of a RequestState must do. */
enum class ActionKind {
    /** Ask control for the claim. */
    Claim,
    /** Find an upstream, then step() with Routed. */
    Route,
    /** Hold the request until the routes change, for delay at most; then step() with Woken. */
    Wait,
    /** Request admission for the attempt at the local gate. */
    EnterGate,
    /** Send the attempt to the local upstream. */
    Dispatch,
    /** Send the attempt to the agent of another upstream. */
    Forward,
    /** Cancel the attempt: remove it from the gate's queue or close its connection. No event follows. */
    Cancel,
    /** step() with HedgeDue after the service's hedge delay. */
    ArmHedge,
    /** Relay the attempt's answer to the caller. */
    Relay,
    /** Relay the answer recorded with the claim to the caller. */
    RelayRecorded,
    /** Answer the caller with a problem. */
    Refuse,
    /** Report claimResolution of the claimed request to control. */
    Record
};

/** What is recorded with a claim. */
enum class ClaimResolution {
    /** The request has definitely not run: its id may be claimed again. */
    Released,
    /** The attempt's answer is recorded. */
    Answered,
    /** The request may have run. */
    Unknown
};

/** Why a request is refused. */
enum class RefusalCause {
    /** A failed attempt; outcome says how it failed. */
    Attempt,
    DeadlinePassed,
    ClaimConflict,
    ClaimInProgress,
    ClaimBodyDropped,
    ClaimUnknown,
    ClaimsFull,
    ClaimUnavailable,
    /** The workspace's limit is used up. */
    Limit
};

/** The problem to answer with. */
struct RefusalDetails {
    RefusalCause cause = RefusalCause::Attempt;
    AttemptOutcome outcome = AttemptOutcome::NotOwner;
    int status = 0;
    Ran ran = Ran::Unknown;
    /** Whether a later retry by the caller may succeed. */
    bool retryAfter = false;
    /** Delay after which the caller should retry, when it is known. */
    std::optional<std::chrono::milliseconds> retryAfterDelay = std::nullopt;
};

/** One action; only the fields of its kind are set. */
struct RequestAction {
    ActionKind kind = ActionKind::Route;
    unsigned attempt = 0;
    std::uint32_t upstream = 0;
    std::chrono::nanoseconds delay{0};
    RefusalDetails refusal{};
    ClaimResolution claimResolution = ClaimResolution::Unknown;
};

} // namespace bergamotweir::agent
