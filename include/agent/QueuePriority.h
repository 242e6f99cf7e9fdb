#pragma once

#include "base/BootClock.h"

#include <chrono>

namespace bergamotweir::agent {

/** In which order waiting requests are served, and how long waiting makes sense. */
struct QueuePriority {
    /** 0 is the most urgent; a less urgent one waits for all that are more urgent. */
    unsigned priority = 0;
    /** Among equals, the earlier goes first: a request that has to be quick overtakes one that has time. */
    BootTime targetDeadline{};
    /** Not handed to an upstream by then, it is refused, as its answer would come too late to be worth much. */
    BootTime dispatchDeadline = BootTime::max();
    /** A key whose owner is being changed is waited for until then. */
    BootTime ownerWaitDeadline = BootTime::max();
};

/** What the routes say of a request's time. */
struct TimeTargets {
    /** An answer within this time is as good as can be. */
    std::chrono::milliseconds targetLatency{0};
    /** Longest time that a caller is kept waiting. */
    std::chrono::milliseconds timeout{0};
    unsigned priority = 0;
};

/**
 * Decides how urgent a request is.
 *
 * The load that it answers: more comes than the upstreams can serve, and requests make calls of their own to other
 * services. First come first served, all wait equally long: the calls, which are short but must be quick, are late, and
 * with each the request that made it is lost after its work was done.
 * @param acceptedAt when its first agent took it
 */
QueuePriority queuePriorityOf(const TimeTargets &targets, BootTime acceptedAt);

/** @return whether one goes before the other */
bool hasPriorityOver(const QueuePriority &one, const QueuePriority &other);

} // namespace bergamotweir::agent
