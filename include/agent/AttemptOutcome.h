#pragma once

#include <optional>
#include <string_view>

namespace bergamotweir::agent {

/** How one attempt to get a request answered by an upstream ended. */
enum class AttemptOutcome {
    /** The upstream sent a complete answer, of any status. */
    Answered,
    /** The receiving agent doesn't own the key, has no lease, or is moving the key away. */
    NotOwner,
    /** The upstream refused the request: it doesn't hold the key, or is a different upstream from the one requested. */
    KeyNotHeld,
    /** Shed by the gate or by the upstream. */
    Overloaded,
    /** Not sent to the upstream, because others of the service are faster at the moment. */
    Slow,
    /** Shed by the gate at the limit set in the table. */
    OverLimit,
    /** Not sent because of the rate limit that the upstream states. */
    RateLimited,
    Quarantined,
    /** No connection could be made; no byte was sent. */
    NotSent,
    /** The connection broke. */
    ConnectionLost,
    /** The upstream's process ended while the request was in progress. */
    Crashed,
    TruncatedAnswer,
    TooLarge,
    TimedOut
};

/** @return the name used between agents, such as "not-owner" */
std::string_view toText(AttemptOutcome outcome);

/** @return the outcome with that name, or std::nullopt for an unknown name */
std::optional<AttemptOutcome> attemptOutcomeFromText(std::string_view text);

} // namespace bergamotweir::agent
