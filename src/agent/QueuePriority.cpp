#include "agent/QueuePriority.h"

#include <algorithm>
#include <tuple>

namespace bergamotweir::agent {

namespace {

using std::chrono::milliseconds;

/** Part of the timeout that a request waits at most: answers to those that start later miss their target anyway. */
constexpr double StartShare = 0.1;
/**
 * Part of the target that a request waits for the next owner of its key. A move takes a release, a commit and a grant:
 * who waits for it is answered within the target, who is sent away comes back too late for that.
 */
constexpr double OwnerShare = 0.5;
/** Shorter waits than the time between two free slots refuse what would be served at once. */
constexpr milliseconds ShortestWait{100};

milliseconds part(milliseconds whole, double share)
{
    return milliseconds(static_cast<milliseconds::rep>(static_cast<double>(whole.count()) * share));
}

} // namespace

QueuePriority queuePriorityOf(const TimeTargets &targets, BootTime acceptedAt)
{
    return {
        .priority = targets.priority,
        .targetDeadline = acceptedAt + targets.targetLatency,
        .dispatchDeadline = acceptedAt + std::max(part(targets.timeout, StartShare), ShortestWait),
        .ownerWaitDeadline = acceptedAt + std::max(part(targets.targetLatency, OwnerShare), ShortestWait),
    };
}

bool hasPriorityOver(const QueuePriority &one, const QueuePriority &other)
{
    return std::tie(one.priority, one.targetDeadline) < std::tie(other.priority, other.targetDeadline);
}

} // namespace bergamotweir::agent
