#pragma once

#include <control.pb.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamotweir::raft {

/** The leader's view of its group, input of the decision on the next membership change. */
struct MembershipFacts {
    wire::Membership members;
    /** Replicas that requested to join and are not members yet. */
    std::vector<wire::Replica> joiners;
    /** Time since the leader last heard of each of the other members, by id. */
    std::map<std::string, std::chrono::nanoseconds> silences;
    /** Ids of the learners that hold nearly all committed entries, so that they may become voters. */
    std::set<std::string> caughtUp;
    /** Silence after which a voter counts as lost if a replica is there to take its place. */
    std::chrono::nanoseconds voterTimeout{0};
    /** Silence after which a learner is removed. */
    std::chrono::nanoseconds learnerTimeout{0};
    /** Target number of voters, chosen so that acknowledged entries survive the tolerated number of lost replicas. */
    std::size_t wantedVoters = 0;
};

/**
 * Decides the next membership change that the group can make without an operator.
 *
 * When a VM restarts with an empty disk or is replaced by another VM, its old replica never answers again. Without
 * automatic replacement the group would lose fault tolerance with each such event, and after two more losses it could
 * commit nothing. The old replica is removed before the new one becomes a voter: otherwise one VM would count as two
 * voters, and its second loss as two losses. The number of voters falls below the wanted one by one at most, so that a
 * majority of them still holds each acknowledged entry on one disk more than may be lost. Several learners catch up at
 * the same time.
 * @return the change, or nothing if none is needed
 */
std::optional<wire::ChangeMember> nextChange(const MembershipFacts &facts);

/** @return the number of voters in a membership */
std::size_t countVoters(const wire::Membership &membership);

} // namespace bergamotweir::raft
