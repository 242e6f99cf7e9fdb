#include "agent/Urgency.h"

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

Urgency urgencyOf(const TimeTargets &targets, BootTime acceptedAt)
{
    return {
        .priority = targets.priority,
        .orderBy = acceptedAt + targets.targetLatency,
        .startBy = acceptedAt + std::max(part(targets.timeout, StartShare), ShortestWait),
        .ownerBy = acceptedAt + std::max(part(targets.targetLatency, OwnerShare), ShortestWait),
    };
}

bool goesBefore(const Urgency &one, const Urgency &other)
{
    return std::tie(one.priority, one.orderBy) < std::tie(other.priority, other.orderBy);
}

} // namespace bergamotweir::agent
