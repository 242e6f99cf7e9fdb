#pragma once

#include "base/BootClock.h"
#include "table/LimitBounds.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace bergamotweir::wire {
class Renew;
class Renewed;
} // namespace bergamotweir::wire

namespace bergamotweir::table {
class RouteTable;
} // namespace bergamotweir::table

namespace bergamotweir::agent {

/** What an agent may let through of one workspace's limit, and what its callers ask for. */
struct LimitShare {
    /** Part of the workspace's limit, from 0 to 1. */
    double share = 0;
    /** Requests that may be let through now; at most the share of table::mostTokens(). */
    double tokens = 0;
    BootTime refilledAt;
    /** Requests since the last sample, let through or not. */
    double offered = 0;
    /** Requests a second, smoothed over samples. */
    double demand = 0;
    /** What control was told last; below 0 before the first report. */
    double reported = -1;
};

/**
 * This agent's shares of the limits of workspaces. Control grants them by demand, so that they add up to 1 over all
 * agents, and tokens come from the rate and from control's reserve alone: whatever moves between agents, all of them
 * together let through no more than the limit. A limit that changes applies to the shares at once.
 *
 * Guards against a limit that is overrun by agents that don't hear of one another: a share ends with its lease, and a
 * process that starts has none.
 * Owned by the agent process.
 */
struct LimitShares {
    table::LimitBounds bounds;
    std::map<std::string, LimitShare, std::less<>> workspaces;
    /** Shares hold before this point. */
    BootTime validUntil;
    /** The newest renewal whose shares were applied. */
    std::uint64_t appliedSequence = 0;
    /** The next report names all shares: control doesn't know them on a new session. */
    bool reportAll = true;
    BootTime sampledAt;
    BootTime askedAt;
};

enum class LimitVerdict {
    Admitted,
    /** The agent's share of the limit is used up. */
    OverLimit,
    /** The agent holds no share: it hasn't got one yet, or has lost contact with control. */
    NoShare
};

struct LimitDecision {
    LimitVerdict verdict = LimitVerdict::Admitted;
    /** Until the next request can be let through, as far as it's known. */
    std::chrono::milliseconds retryAfter{0};
    /** Control should hear of the demand at once. */
    bool ask = false;
};

/**
 * Judges a request of a workspace, and takes a token for it when it is let through.
 * @param workspace as the table in force has it; one without a limit is always let through
 */
LimitDecision takeToken(LimitShares &shares, const table::Workspace &workspace, BootTime now);

/** Returns the token of a request that surely did not run. */
void giveBackToken(LimitShares &shares, const table::Workspace &workspace);

/** Starts reporting anew on a new session; shares held stay until they end. */
void beginLimitSession(LimitShares &shares);

/**
 * Adds to a renewal which shares were applied and, once in a while or when @p atOnce, the demand that changed.
 * @param atOnce whether control should hear of the demand with this renewal
 */
void reportDemand(LimitShares &shares, wire::Renew &renew, bool atOnce, BootTime now);

/**
 * Applies what control granted with a renewal. Tokens beyond a smaller share are lost.
 * @param routes table with the limits in force
 * @param sentAt when the renewal was sent; the lease of shares counts from there
 */
void applyShares(
    LimitShares &shares, const table::RouteTable &routes, const wire::Renewed &renewed, BootTime sentAt, BootTime now);

} // namespace bergamotweir::agent
