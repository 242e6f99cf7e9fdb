#pragma once

#include "base/BootClock.h"

#include <chrono>

namespace bergamotweir::agent {

/** Order in which waiting requests are served, and how long they may wait. */
struct QueuePriority {
    /** 0 is the highest priority; requests of a lower priority wait for all of a higher one. */
    unsigned priority = 0;
    /** Within one priority, requests of minor routes are served first; see isMinorRoute(). */
    bool isMinorRoute = false;
    /** Within one priority the earlier target deadline is served first, so that short requests overtake long ones. */
    BootTime targetDeadline{};
    /** A request not dispatched to an upstream by then is refused, as its answer would be too late to be useful. */
    BootTime dispatchDeadline = BootTime::max();
    /** How long a request waits for the next owner of its key while the key is being moved. */
    BootTime ownerWaitDeadline = BootTime::max();
};

/** Times and priority that the routes set for a request. */
struct TimeTargets {
    /** Latency up to which an answer has its full value. */
    std::chrono::milliseconds targetLatency{0};
    /** Maximum time that a caller is kept waiting. */
    std::chrono::milliseconds timeout{0};
    unsigned priority = 0;
};

/**
 * Computes the queue priority of a request.
 *
 * Guards against wasted work under overload, when requests call other services while they run. In first-come
 * first-served order all requests wait equally long: the calls, which are short and have early deadlines, are late, and
 * each late call fails the request that made it after work was done on it.
 * @param acceptedAt when the first agent accepted the request
 */
QueuePriority queuePriorityOf(const TimeTargets &targets, BootTime acceptedAt);

/** @return whether @p one is served before @p other */
bool hasPriorityOver(const QueuePriority &one, const QueuePriority &other);

} // namespace bergamotweir::agent
