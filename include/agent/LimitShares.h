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

namespace bergamotweir::agent {

/** What an agent may let through of one workspace's limit, and what its callers ask for. */
struct LimitShare {
    /** Part of table::maxInWindow() that the agent lets through in every window, from 0 to 1. */
    double share = 0;
    /** When requests of the last window were let through by the share, oldest first. */
    std::deque<BootTime> used;
    /** Until when each single permit that control has handed out may be used, oldest first. */
    std::deque<BootTime> permits;
    /** Requests that were refused since control was last asked for permits. */
    unsigned wanted = 0;
    /** The share is used up: a permit is wanted ahead of the next request. */
    bool wantsExtraPermit = false;
    /** Requests since the last sample, let through or not. */
    double offered = 0;
    /** Requests a second, smoothed over samples. */
    double demand = 0;
    /** What control was told last; below 0 before the first report. */
    double reported = -1;
};

/**
 * This agent's shares of the limits of workspaces. A share is a number of requests in every window, granted by control
 * by demand so that all shares add up to a part of the limit. Once it is used up control is asked for permits: one
 * ahead of the next request, and one for each request that is refused, whose caller finds it when it comes back.
 *
 * Guards against a limit that is overrun by agents that don't hear of one another: shares and permits end by
 * themselves, and a process that starts has none.
 * Owned by the agent process.
 */
struct LimitShares {
    table::LimitBounds bounds;
    /** Of this process. In its first window it uses no share: the one before it may have used it up. */
    BootTime startedAt;
    std::map<std::string, LimitShare, std::less<>> workspaces;
    /** Shares hold before this point. */
    BootTime validUntil;
    /** The newest renewal whose shares were applied. */
    std::uint64_t appliedSequence = 0;
    /** The next report names all shares: control doesn't know them on a new session. */
    bool reportAll = true;
    BootTime sampledAt;
    BootTime askedAt;
    /** Until control may be asked for permits again. */
    std::chrono::milliseconds askInterval{100};
};

enum class LimitVerdict {
    Admitted,
    /** Admitted by a single permit. */
    Permitted,
    /** The agent's share of the limit is used up. */
    OverLimit,
    /** The agent holds no share: it hasn't got one yet, or has lost contact with control. */
    NoShare
};

struct LimitDecision {
    LimitVerdict verdict = LimitVerdict::Admitted;
    /** When a permit may be there, or the share lets the next request through. */
    std::chrono::milliseconds retryAfter{0};
    /** Control should be asked at once. */
    bool shouldAskControl = false;
};

/** @return whether the request may be sent on */
bool isAdmitted(const LimitDecision &decision);

/**
 * Judges a request of a workspace, and counts it when it is let through.
 * @param workspace as the table in force has it; one without a limit is always let through
 */
LimitDecision admit(LimitShares &shares, const table::Workspace &workspace, BootTime now);

/** Takes back the count of a request that was admitted by the share and surely did not run. */
void returnAdmission(LimitShares &shares, const std::string &workspace);

/** Starts reporting anew on a new session; shares held stay until they end. */
void beginLimitSession(LimitShares &shares);

/**
 * Adds to a renewal which shares were applied, how many permits are wanted and, once in a while or when @p atOnce, the
 * demand that changed.
 */
void reportDemand(LimitShares &shares, wire::Renew &renew, bool atOnce, BootTime now);

/**
 * Applies what control granted with a renewal.
 * @param sentAt when the renewal was sent; shares and permits count from there
 */
void applyShares(LimitShares &shares, const wire::Renewed &renewed, BootTime sentAt, BootTime now);

} // namespace bergamotweir::agent
