#pragma once

#include "base/BootClock.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace bergamotweir::wire {
class Renewed;
}

namespace bergamotweir::agent {

/** A heartbeat that has been sent on the present session and not been answered. */
struct SentRenewal {
    std::uint64_t sequence = 0;
    BootTime sentAt;
};

/**
 * The agent's right to serve the keys that the route map gives it.
 *
 * Guard against two owners of one key. It shows when an agent that was frozen, suspended or cut off goes on serving
 * after control has granted its keys to another. A lease runs from the moment its renewal was sent, on the boot clock,
 * so it ends here before control's own count of it ends; a dispatch asks isValidAt() at the moment of dispatch.
 * Owned by the agent process. A restarted agent starts with an empty one and so serves nothing.
 */
struct Lease {
    /** Control session in use; 0 when there is none. */
    std::uint64_t session = 0;
    /** Whether the session's first full StateUpdate has been applied. */
    bool fullStateApplied = false;
    std::uint64_t lastSequence = 0;
    /** Unanswered renewals of this session, oldest first. */
    std::deque<SentRenewal> sent;
    /** The lease holds before this point. */
    BootTime validUntil;
};

/** Most renewals kept unanswered; older ones can no longer be confirmed. */
constexpr std::size_t MaxSentRenewals = 64;

/**
 * Starts counting renewals on a new session; a lease already held stays until it ends by itself.
 * @param session names the session, never 0 and never used before
 */
void beginSession(Lease &lease, std::uint64_t session);

/** Forgets the session and its unanswered renewals. */
void endSession(Lease &lease);

/** Tells that the first full StateUpdate of @p session has been applied; another session's is ignored. */
void recordFullState(Lease &lease, std::uint64_t session);

/**
 * Notes a renewal about to be sent.
 * @param now the time before it is handed to the network
 * @return the sequence number it carries
 */
std::uint64_t recordRenewal(Lease &lease, BootTime now);

/**
 * Extends the lease by a confirmed renewal.
 * Ignored when @p session isn't the present one, when its full state has not been applied yet (the renewal says
 * nothing about a state which the agent doesn't know), or when the sequence wasn't sent on it.
 * @return whether the renewal counted
 */
bool confirmRenewal(Lease &lease, std::uint64_t session, const wire::Renewed &renewed);

/** @return when a renewal of the session that may yet be confirmed was sent */
std::optional<BootTime> sentAt(const Lease &lease, std::uint64_t session, std::uint64_t sequence);

/** @return whether the lease covers a dispatch at @p now */
bool isValidAt(const Lease &lease, BootTime now);

} // namespace bergamotweir::agent
