#pragma once

#include "base/BootClock.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace bergamotweir::wire {
class Renewed;
}

namespace bergamotweir::agent {

/** An unanswered renewal sent on the current session. */
struct SentRenewal {
    std::uint64_t sequence = 0;
    BootTime sentAt;
};

/**
 * The agent's right to serve the keys that the route map assigns to it.
 *
 * Guards against two owners of one key: an agent that was frozen, suspended or partitioned could continue to serve
 * after control has granted its keys to another. A lease runs from the time at which its renewal was sent, on the boot
 * clock, so it expires here before it expires at control. Each dispatch checks isValidAt() at the time of dispatch.
 * Owned by the agent process. A restarted agent starts with an empty lease and therefore serves nothing.
 */
struct Lease {
    /** Current control session; 0 when there is none. */
    std::uint64_t session = 0;
    /** Whether the session's first full StateUpdate has been applied. */
    bool fullStateApplied = false;
    std::uint64_t lastSequence = 0;
    /** Unanswered renewals of this session, oldest first. */
    std::deque<SentRenewal> sent;
    /** The lease is valid before this point. */
    BootTime validUntil;
    /** When the newest confirmed renewal was sent. Everything that control had committed by then has been applied. */
    BootTime confirmedAt;
};

/** Maximum number of unanswered renewals kept; older ones can no longer be confirmed. */
constexpr std::size_t MaxSentRenewals = 64;

/**
 * Starts recording renewals on a new session; the current lease stays valid until it expires.
 * @param session identifies the session; not 0 and never used before
 */
void beginSession(Lease &lease, std::uint64_t session);

/** Ends the session and drops its unanswered renewals. */
void endSession(Lease &lease);

/** Records that the first full StateUpdate of @p session has been applied; ignored for any other session. */
void recordFullState(Lease &lease, std::uint64_t session);

/**
 * Records a renewal that is about to be sent.
 * @param now time before the renewal is handed to the network
 * @return its sequence number
 */
std::uint64_t recordRenewal(Lease &lease, BootTime now);

/**
 * Extends the lease by a confirmed renewal.
 * Ignored when @p session isn't the current one, when its full state has not been applied yet (the renewal would then
 * cover a state that the agent doesn't have), or when the sequence number wasn't sent on it.
 * @return whether the confirmation was accepted
 */
bool confirmRenewal(Lease &lease, std::uint64_t session, const wire::Renewed &renewed);

/** @return when the renewal was sent, or std::nullopt when it isn't an unanswered renewal of the current session */
std::optional<BootTime> sentAt(const Lease &lease, std::uint64_t session, std::uint64_t sequence);

/** @return whether the lease covers a dispatch at @p now */
bool isValidAt(const Lease &lease, BootTime now);

} // namespace bergamotweir::agent
