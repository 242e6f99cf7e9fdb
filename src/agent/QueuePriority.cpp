#include "agent/QueuePriority.h"

#include <algorithm>
#include <tuple>

namespace bergamotweir::agent {

namespace {

using std::chrono::milliseconds;

/** Fraction of the time-out that a request may wait: requests dispatched later would miss their target anyway. */
constexpr double DispatchWaitShare = 0.1;
/**
 * Fraction of the target latency that a request waits for the next owner of its key. A move takes a release, a commit
 * and a grant: a request that waits for it is answered within the target, while a refused caller's retry is too late.
 */
constexpr double OwnerWaitShare = 0.5;
/** Minimum wait. Waits shorter than the time between two free slots would refuse requests that are served shortly. */
constexpr milliseconds MinWait{100};

milliseconds scaled(milliseconds whole, double share)
{
    return milliseconds(static_cast<milliseconds::rep>(static_cast<double>(whole.count()) * share));
}

} // namespace

QueuePriority queuePriorityOf(const TimeTargets &targets, BootTime acceptedAt)
{
    return {
        .priority = targets.priority,
        .targetDeadline = acceptedAt + targets.targetLatency,
        .dispatchDeadline = acceptedAt + std::max(scaled(targets.timeout, DispatchWaitShare), MinWait),
        .ownerWaitDeadline = acceptedAt + std::max(scaled(targets.targetLatency, OwnerWaitShare), MinWait),
    };
}

bool hasPriorityOver(const QueuePriority &one, const QueuePriority &other)
{
    if (one.priority != other.priority || one.isMinorRoute == other.isMinorRoute) {
        return std::tie(one.priority, one.targetDeadline) < std::tie(other.priority, other.targetDeadline);
    }
    return one.isMinorRoute;
}

} // namespace bergamotweir::agent
