#pragma once

#include "base/BootClock.h"
#include "table/LimitBounds.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace bergamotweir::wire {
class Renew;
class Renewed;
} // namespace bergamotweir::wire

namespace bergamotweir::table {
class RouteTable;
} // namespace bergamotweir::table

namespace bergamotweir::control {

/** One agent's share of one workspace's limit, as known to the leader. Shares are fractions of the limit, 0 to 1. */
struct ShareRecord {
    /** Share that the agent uses according to its latest confirmation. */
    double confirmedShare = 0;
    /** Share granted last; until the agent confirms it, the agent may use either this or the confirmed share. */
    double grantedShare = 0;
    /**
     * Share of the agent's previous process. It is reserved for this process until the window in which the previous one
     * may have used it has passed.
     */
    double inheritedShare = 0;
    /** Sequence number of the renewal that carried the grant. */
    std::uint64_t grantSequence = 0;
    /** Requests per second from the agent's callers. */
    double demand = 0;
    /** Single permits that the agent asked for. */
    unsigned permitsWanted = 0;
    /** Whether the agent asked for one more permit for its next request. */
    bool wantsExtraPermit = false;
};

/** Shares of one incarnation of an agent. */
struct AgentShares {
    std::map<std::string, ShareRecord, std::less<>> workspaces;
    /** The agent uses none of these shares after this time. */
    BootTime validUntil;
    /** End of the window in which the previous process may have used the inherited shares. */
    BootTime inheritedUntil;
};

/** A share that was returned; it may still have been used within the current window. */
struct ReturnedShare {
    BootTime availableAt;
    double share = 0;
};

/** Permits granted by one renewal; they count against the limit until countsUntil. */
struct GrantedPermits {
    BootTime countsUntil;
    unsigned permits = 0;
};

/** The part of one workspace's limit that is granted to agents or can't be granted yet. */
struct LimitAllocation {
    /**
     * Fraction of the limit: sum over agents of the largest of their confirmed, granted and inherited share, and of the
     * shares returned within the last window.
     */
    double outstanding = 0;
    std::deque<ReturnedShare> returned;
    /** Sum over agents of the weight of their demand. */
    double totalWeight = 0;
    std::size_t agentCount = 0;
    std::deque<GrantedPermits> grantedPermits;
    /** Sum over grantedPermits. */
    unsigned outstandingPermits = 0;
};

struct LimitAllocatorSettings {
    table::LimitBounds bounds;
    /** How long an agent may use its shares without an answer from control. */
    std::chrono::milliseconds lease{std::chrono::seconds(12)};
    /** How long an agent may use a permit. */
    std::chrono::milliseconds permitDuration{std::chrono::seconds(2)};
    /** Margin added by the leader for clocks that run at different rates. */
    std::chrono::milliseconds drift{200};
};

/**
 * Divides the limits of workspaces among agents, and records which part of them each agent may use. Designed for
 * deployments whose agents renew about once a second and whose callers spread over many agents: shares granted by
 * demand cover the usual load of each agent, and single permits cover what exceeds it at some agents.
 *
 * Guards against a limit that is exceeded while shares are reassigned: in no window do shares and permits add up to
 * more than the whole limit. What an agent gives up when its share shrinks is available to others one window after the
 * agent has confirmed the smaller share or its lease has expired. A new leader collects the shares from the agents'
 * reports, and grants more only once all agents have reported or all leases of its predecessor have expired.
 *
 * Volatile; owned by the coordinator.
 */
struct LimitAllocator {
    LimitAllocatorSettings settings;
    /** By incarnation id: the agent's name and incarnation. */
    std::map<std::string, AgentShares> agents;
    /** By workspace. */
    std::map<std::string, LimitAllocation, std::less<>> allocations;
    /** Whether the shares of all agents are known. */
    bool allSharesKnown = false;
    BootTime leaderSince;
};

/** Clears all records and starts the allocation of a new leader, which knows no shares yet. */
void beginLeading(LimitAllocator &allocator, BootTime now);

/**
 * Updates allSharesKnown, which becomes true at the latest once all leases of the previous leader have expired.
 * @param allReported whether every agent that may hold shares has reported them
 */
void updateAllSharesKnown(LimitAllocator &allocator, bool allReported, BootTime now);

/** Records the shares and the demand that an agent reported. */
void recordDemand(LimitAllocator &allocator, const std::string &incarnationId, const wire::Renew &renew, BootTime now);

/** Reserves the shares of an agent's process that has certainly ended for its successor process. */
void transferShares(LimitAllocator &allocator, const std::string &ended, const std::string &successor, BootTime now);

/** Reclaims the shares whose lease has expired. */
void expireLimits(LimitAllocator &allocator, BootTime now);

/** @return whether this incarnation of an agent has reported its shares to this leader */
bool isKnown(const LimitAllocator &allocator, const std::string &incarnationId);

/**
 * Renews an agent's shares, changes them where its demand requires it, and grants the permits that it asked for.
 * @param routes table with the limits in force
 * @param arrival time at which the renewal that is answered arrived
 * @param renewed answer to the renewal; gets no shares for an agent that has not reported its own
 */
void grantShares(LimitAllocator &allocator,
                 const std::string &incarnationId,
                 const table::RouteTable &routes,
                 BootTime arrival,
                 BootTime now,
                 wire::Renewed &renewed);

} // namespace bergamotweir::control
