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

/** The share of one workspace's limit that this agent may admit, and the demand of its callers. */
struct LimitShare {
    /** Fraction of table::maxInWindow() that the agent may admit in each window, from 0 to 1. */
    double share = 0;
    /** When requests were admitted by the share within the last window, oldest first. */
    std::deque<BootTime> used;
    /** Expiry of each unused single permit granted by control, oldest first. */
    std::deque<BootTime> permits;
    /** Requests refused since control was last asked for permits. */
    unsigned permitsWanted = 0;
    /** The share is used up: a permit is requested in advance for the next request. */
    bool wantsExtraPermit = false;
    /** Requests since the last sample, admitted or not. */
    double offered = 0;
    /** Requests per second, smoothed over samples. */
    double demand = 0;
    /** Demand last reported to control; below 0 before the first report. */
    double reported = -1;
};

/**
 * This agent's shares of the limits of workspaces. A share is a number of requests per window, granted by control
 * according to demand so that all shares add up to a part of the limit. When a share is used up, control is asked for
 * permits: one in advance for the next request, and one for each refused request, to be used when its caller retries.
 *
 * Guards against agents that together exceed a limit while they can't communicate: shares and permits expire, and a
 * process that starts has none.
 * Owned by the agent process.
 */
struct LimitShares {
    table::LimitBounds bounds;
    /** Start of this process. It uses no share in its first window, as its predecessor may have used the share up. */
    BootTime startedAt;
    std::map<std::string, LimitShare, std::less<>> workspaces;
    /** Shares are valid before this point. */
    BootTime validUntil;
    /** Sequence number of the newest renewal whose shares were applied. */
    std::uint64_t appliedSequence = 0;
    /** The next report contains all shares, as control doesn't know them on a new session. */
    bool reportAll = true;
    BootTime sampledAt;
    BootTime askedAt;
    /** Minimum time before control may be asked for permits again. */
    std::chrono::milliseconds askInterval{100};
};

enum class LimitVerdict {
    Admitted,
    /** Admitted by using a single permit. */
    Permitted,
    /** The agent's share of the limit is used up. */
    OverLimit,
    /** The agent holds no share: it has not received one yet, or has lost contact with control. */
    NoShare
};

struct LimitDecision {
    LimitVerdict verdict = LimitVerdict::Admitted;
    /** Time until a permit may be available, or until the share admits the next request. */
    std::chrono::milliseconds retryAfter{0};
    /** Whether control should be asked for permits immediately. */
    bool shouldAskControl = false;
};

/** @return whether the request may be forwarded */
bool isAdmitted(const LimitDecision &decision);

/**
 * Decides about a request of a workspace and counts it when it is admitted.
 * @param workspace as defined in the table in force; requests of one without a limit are always admitted
 */
LimitDecision admit(LimitShares &shares, const table::Workspace &workspace, BootTime now);

/** Removes a request from the count that was admitted by the share and has definitely not run. */
void returnAdmission(LimitShares &shares, const std::string &workspace);

/** Makes the next report a full one on a new session; current shares stay until they expire. */
void beginLimitSession(LimitShares &shares);

/**
 * Adds the sequence number of the applied shares, the number of permits wanted and, at intervals or when @p atOnce is
 * set, the changed demand to a renewal.
 */
void reportDemand(LimitShares &shares, wire::Renew &renew, bool atOnce, BootTime now);

/**
 * Applies the shares and permits that control granted with a renewal.
 * @param sentAt when the renewal was sent; the validity of shares and permits starts there
 */
void applyShares(LimitShares &shares, const wire::Renewed &renewed, BootTime sentAt, BootTime now);

} // namespace bergamotweir::agent
