#pragma once

#include <control.pb.h>

#include <cstddef>
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
    /** Ids of the members whose silence exceeded the time-out after which they count as lost. */
    std::set<std::string> unresponsive;
    /** Target number of voters, chosen so that acknowledged entries survive the tolerated number of lost replicas. */
    std::size_t wantedVoters = 0;
};

/**
 * Decides the next membership change that the group can make without an operator.
 *
 * When a VM restarts with an empty disk or is replaced by another VM, its old replica never answers again. Without
 * automatic replacement the group would lose fault tolerance with each such event, and after two more losses it could
 * commit nothing. The new replica is added first, and the old one is removed only after the new one is a voter, so the
 * number of voters that hold the acknowledged entries never decreases.
 * @return the change, or nothing if none is needed
 */
std::optional<wire::ChangeMember> nextChange(const MembershipFacts &facts);

/** @return the number of voters in a membership */
std::size_t countVoters(const wire::Membership &membership);

} // namespace bergamotweir::raft
