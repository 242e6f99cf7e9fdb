#pragma once

#include <optional>
#include <string_view>

namespace bergamotweir::agent {

/** How one try to have a request answered by an upstream ended. */
enum class AttemptOutcome {
    /** A whole answer of the upstream's, of any status. */
    Answered,
    /** The agent that was asked doesn't own the key, has no lease, or is moving it. */
    NotOwner,
    /** The upstream refused it: it doesn't hold the key, or is another one than was asked for. */
    KeyNotHeld,
    /** Shed by the gate or by the upstream. */
    Overloaded,
    /** Shed by the gate at the limit that the table sets. */
    OverLimit,
    Quarantined,
    /** No connection; no byte was sent. */
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

/** @return the end of that name, or nothing for another text */
std::optional<AttemptOutcome> attemptOutcomeFromText(std::string_view text);

} // namespace bergamotweir::agent
