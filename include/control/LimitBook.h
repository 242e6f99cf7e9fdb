#pragma once

#include "base/BootClock.h"
#include "table/LimitBounds.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
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
    /** Renewal that carried the grant. */
    std::uint64_t sentSequence = 0;
    /** Requests a second that the agent's callers ask for. */
    double demand = 0;
};

/** Shares of one life of an agent. */
struct AgentLimits {
    std::map<std::string, HeldLimit, std::less<>> workspaces;
    /** The agent uses no share of these after this moment. */
    BootTime end;
};

/** What is not granted of one workspace's limit. */
struct LimitReserve {
    /** Requests that nobody may let through yet. */
    double tokens = 0;
    BootTime refilledAt;
    /** Sum over agents of the larger of held and sent. */
    double outstanding = 0;
    /** Sum over agents of the weight of their demand. */
    double weight = 0;
    std::size_t agents = 0;
};

struct LimitBookSettings {
    table::LimitBounds bounds;
    /** How long an agent may use its shares without hearing of control; 0 grants none. */
    std::chrono::milliseconds lease{std::chrono::seconds(12)};
    /** Added to the lease on the leader's side, for clocks that run at different rates. */
    std::chrono::milliseconds drift{200};
};

/**
 * The leader's record of who may use which part of the limits of workspaces. For deployments with many more requests
 * than renewals, whose callers stay with an agent for seconds or longer.
 *
 * Guards against a limit that is overrun while shares move: the parts that agents may use never add up to more than
 * the whole. A smaller share counts as returned once the agent has confirmed it or its lease has ended. A new leader
 * learns the shares from the agents, and grants more only when all have told or all leases of before have ended.
 * Volatile; owned by the coordinator.
 */
struct LimitBook {
    LimitBookSettings settings;
    /** By the name of the agent's life: its name and incarnation. */
    std::map<std::string, AgentLimits> agents;
    std::map<std::string, LimitReserve, std::less<>> reserves;
    /** Whether the shares of all agents are known. */
    bool complete = false;
    BootTime leadsSince;
    BootTime completeSince;
};

/** Starts without any knowledge, as a new leader does. */
void beginLeading(LimitBook &book, BootTime now);

/** Notes that the shares of all agents are known, at the latest once all leases of before have ended. */
void noteComplete(LimitBook &book, bool allReported, BootTime now);

/** Takes in what an agent told of its shares and demand. */
void noteDemand(LimitBook &book, const std::string &life, const wire::Renew &renew, BootTime now);

/** Frees the shares of an agent's process that has surely ended. */
void endLife(LimitBook &book, const std::string &life);

/** Frees the shares whose lease has ended. */
void expireLimits(LimitBook &book, BootTime now);

/** @return whether this life of an agent has told its shares since this leader leads */
bool isKnown(const LimitBook &book, const std::string &life);

/**
 * Renews an agent's shares, and changes them where its demand calls for it.
 * @param routes table with the limits in force
 * @param arrival of the renewal that is answered
 * @param renewed answer to it; left without shares for an agent that has not told its own
 */
void grantShares(LimitBook &book,
                 const std::string &life,
                 const table::RouteTable &routes,
                 BootTime arrival,
                 BootTime now,
                 wire::Renewed &renewed);

} // namespace bergamotweir::control
