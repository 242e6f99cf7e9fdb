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

/** What is known of one agent's share of one workspace's limit. */
struct HeldLimit {
    /** Share that the agent acts on, as far as it has confirmed. */
    double held = 0;
    /** Share granted last; the agent may act on either of the two until it confirms. */
    double sent = 0;
    /** Share of the process before, kept for this one while the window in which it may have been used runs. */
    double inherited = 0;
    /** Renewal that carried the grant. */
    std::uint64_t sentSequence = 0;
    /** Requests a second that the agent's callers ask for. */
    double demand = 0;
    /** Single permits that the agent asked for. */
    unsigned wanted = 0;
    /** Whether one more is useful for its next request. */
    bool wantsExtraPermit = false;
};

/** Shares of one life of an agent. */
struct AgentLimits {
    std::map<std::string, HeldLimit, std::less<>> workspaces;
    /** The agent uses no share of these after this moment. */
    BootTime end;
    BootTime inheritedUntil;
};

/** A share that was returned, and may have been used up in the window that still runs. */
struct ReturnedShare {
    BootTime freeAt;
    double share = 0;
};

struct GrantedPermits {
    BootTime countsUntil;
    unsigned permits = 0;
};

/** What is out of one workspace's limit. */
struct LimitReserve {
    /** Sum over agents of the largest of held, sent and inherited, and of what was returned within the last window. */
    double outstanding = 0;
    std::deque<ReturnedShare> returned;
    /** Sum over agents of the weight of their demand. */
    double weight = 0;
    std::size_t agents = 0;
    std::deque<GrantedPermits> grantedPermits;
    /** Sum over handed. */
    unsigned permits = 0;
};

struct LimitAllocatorSettings {
    table::LimitBounds bounds;
    /** How long an agent may use its shares without hearing of control. */
    std::chrono::milliseconds lease{std::chrono::seconds(12)};
    /** How long an agent may use a permit. */
    std::chrono::milliseconds permit{std::chrono::seconds(2)};
    /** Added on the leader's side, for clocks that run at different rates. */
    std::chrono::milliseconds drift{200};
};

/**
 * The leader's record of who may use which part of the limits of workspaces. For deployments whose agents renew about
 * once a second and whose callers spread over many agents: shares by demand cover what is usual at each agent, permits
 * what exceeds it here or there.
 *
 * Guards against a limit that is overrun while shares move: in no window do shares and permits add up to more than the
 * whole. A smaller share is free for others one window after the agent has confirmed it or its lease has ended. A new
 * leader learns the shares from the agents, and grants more only when all have told or all leases of before have ended.
 * Volatile; owned by the coordinator.
 */
struct LimitAllocator {
    LimitAllocatorSettings settings;
    /** By the name of the agent's life: its name and incarnation. */
    std::map<std::string, AgentLimits> agents;
    std::map<std::string, LimitReserve, std::less<>> reserves;
    /** Whether the shares of all agents are known. */
    bool allSharesKnown = false;
    BootTime leaderSince;
};

/** Starts without any knowledge, as a new leader does. */
void beginLeading(LimitAllocator &allocator, BootTime now);

/**
 * Looks at whether the shares of all agents are known, at the latest once all leases of before have ended.
 * @param allReported whether every agent that may hold shares has told them
 */
void updateAllSharesKnown(LimitAllocator &allocator, bool allReported, BootTime now);

/** Takes in what an agent told of its shares and demand. */
void recordDemand(LimitAllocator &allocator, const std::string &incarnationId, const wire::Renew &renew, BootTime now);

/** Keeps the shares of an agent's process that has surely ended for the process after it. */
void transferShares(LimitAllocator &allocator, const std::string &ended, const std::string &successor, BootTime now);

/** Takes back the shares whose lease has ended. */
void expireLimits(LimitAllocator &allocator, BootTime now);

/** @return whether this life of an agent has told its shares since this leader leads */
bool isKnown(const LimitAllocator &allocator, const std::string &incarnationId);

/**
 * Renews an agent's shares, changes them where its demand calls for it, and hands out the permits that it wants.
 * @param routes table with the limits in force
 * @param arrival of the renewal that is answered
 * @param renewed answer to it; left without shares for an agent that has not told its own
 */
void grantShares(LimitAllocator &allocator,
                 const std::string &incarnationId,
                 const table::RouteTable &routes,
                 BootTime arrival,
                 BootTime now,
                 wire::Renewed &renewed);

} // namespace bergamotweir::control
