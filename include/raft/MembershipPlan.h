#pragma once

#include <control.pb.h>

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamotweir::raft {

/** What the leader knows when it looks after the membership of its group. */
struct MembershipFacts {
    wire::Membership members;
    /** Replicas that ask to be taken in and aren't members. */
    std::vector<wire::Replica> joiners;
    /** Ids of members that have been silent for so long that they count as gone. */
    std::set<std::string> unresponsive;
    /** Voters that the group should have: enough that what it acknowledged outlives the losses to be borne. */
    std::size_t wantedVoters = 0;
};

/**
 * Decides the next change of the membership that the group can make by itself.
 *
 * Guards against a group that wastes away. It shows when a VM comes back with an empty disk, or another VM takes its
 * place: the old replica never answers again, and after the next two losses nothing can be committed. The newcomer is
 * taken in first, and the replica that it stands for is removed only once the newcomer votes, so that at no point
 * fewer voters than before hold what was acknowledged.
 * @return the change, or nothing when there is none to make
 */
std::optional<wire::ChangeMember> nextChange(const MembershipFacts &facts);

/** @return voters of a membership */
std::size_t countVoters(const wire::Membership &membership);

} // namespace bergamotweir::raft
