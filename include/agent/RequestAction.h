#pragma once

#include "agent/RequestState.h"

#include <chrono>
#include <optional>

namespace bergamotweir::agent {

/** What the owner of a RequestState has to do. */
enum class ActionKind {
    /** Ask control for the claim. */
    Claim,
    /** Find an upstream, then step() with Routed. */
    Route,
    /** Hold the request until the routes change, at most delay; then step() with Woken. */
    Wait,
    /** Enter the attempt into the local gate. */
    EnterGate,
    /** Hand the attempt to the local upstream. */
    Dispatch,
    /** Hand the attempt to the agent of another upstream. */
    Forward,
    /** Give the attempt up: out of the gate, or close its connection. No event follows. */
    Cancel,
    /** step() with HedgeDue after the service's hedge delay. */
    ArmHedge,
    /** Pass the attempt's answer on to the caller. */
    Relay,
    /** Pass the answer recorded with the claim on to the caller. */
    RelayRecorded,
    /** Answer the caller with a problem. */
    Refuse,
    /** Tell control how the claimed request ended; outcome. */
    Record
};

/** What is recorded with a claim. */
enum class ClaimResolution {
    /** Surely didn't run: the id may be claimed again. */
    Released,
    /** The attempt's answer. */
    Answered,
    /** May have run. */
    Unknown
};

/** Why a request is refused. */
enum class RefusalCause {
    /** A failed attempt; end says how. */
    Attempt,
    DeadlinePassed,
    ClaimConflict,
    ClaimInProgress,
    ClaimBodyDropped,
    ClaimUnknown,
    ClaimsFull,
    ClaimUnavailable,
    /** The workspace's limit. */
    Limit
};

/** The problem to answer with. */
struct RefusalDetails {
    RefusalCause cause = RefusalCause::Attempt;
    AttemptOutcome outcome = AttemptOutcome::NotOwner;
    int status = 0;
    Ran ran = Ran::Unknown;
    /** Whether coming back later helps. */
    bool retryAfter = false;
    /** When the caller may come back, where that is known. */
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
