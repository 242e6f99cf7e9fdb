#pragma once

#include <optional>
#include <string_view>

namespace bergamotweir::agent {

/** How one try to have a request answered by an upstream ended. */
enum class AttemptEnd {
    /** A whole answer of the upstream's, of any status. */
    Answered,
    /** The agent that was asked doesn't own the key, has no lease, or is moving it. */
    NotOwner,
    /** The upstream refused it: it doesn't hold the key, or is another one than was asked for. */
    Disowned,
    /** Shed by the gate or by the upstream. */
    NoRoom,
    /** Shed by the gate at the limit that the table sets. */
    OverLimit,
    Quarantined,
    /** No connection; no byte was sent. */
    NotSent,
    /** The connection broke. */
    Broken,
    /** The upstream's process ended while the request was in progress. */
    Crashed,
    ShortAnswer,
    TooLarge,
    TimedOut
};

/** @return the name used between agents, such as "not-owner" */
std::string_view toText(AttemptEnd end);

/** @return the end of that name, or nothing for another text */
std::optional<AttemptEnd> attemptEndFromText(std::string_view text);

} // namespace bergamotweir::agent
