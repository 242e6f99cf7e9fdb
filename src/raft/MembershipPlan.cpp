#include "raft/MembershipPlan.h"

#include <algorithm>

namespace bergamotweir::raft {

namespace {

wire::ChangeMember makeChange(const wire::Replica &replica, wire::ChangeMember::Change kind)
{
    wire::ChangeMember request;
    *request.mutable_replica() = replica;
    request.set_change(kind);
    return request;
}

/**
 * Returns the latest other replica at the address of a member.
 * @return a replica that requests to join or, if there is none, the last member at the address; nullptr if there is
 * none
 */
const wire::Replica *replacementFor(const MembershipFacts &facts, const wire::Replica &member)
{
    for (const wire::Replica &joiner : facts.joiners) {
        if (joiner.address() == member.address()) {
            return &joiner;
        }
    }
    const wire::Replica *latest = &member;
    for (const wire::Replica &other : facts.members.replicas()) {
        if (other.address() == member.address()) {
            latest = &other;
        }
    }
    return latest->id() == member.id() ? nullptr : latest;
}

std::optional<wire::ChangeMember> removeLearner(const MembershipFacts &facts)
{
    for (const wire::Replica &member : facts.members.replicas()) {
        if (!member.voter() && (facts.unresponsive.contains(member.id()) || replacementFor(facts, member) != nullptr)) {
            return makeChange(member, wire::ChangeMember::CHANGE_REMOVE);
        }
    }
    return std::nullopt;
}

std::optional<wire::ChangeMember> promoteLearner(const MembershipFacts &facts)
{
    for (const wire::Replica &member : facts.members.replicas()) {
        if (!member.voter()) {
            return makeChange(member, wire::ChangeMember::CHANGE_PROMOTE);
        }
    }
    return std::nullopt;
}

std::optional<wire::ChangeMember> removeVoter(const MembershipFacts &facts)
{
    const bool hasSpareVoter = countVoters(facts.members) > facts.wantedVoters;
    for (const wire::Replica &member : facts.members.replicas()) {
        if (!member.voter()) {
            continue;
        }
        const wire::Replica *const replacement = replacementFor(facts, member);
        const bool isReplaced = replacement != nullptr && replacement->voter();
        if (isReplaced || (hasSpareVoter && facts.unresponsive.contains(member.id()))) {
            return makeChange(member, wire::ChangeMember::CHANGE_REMOVE);
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<wire::ChangeMember> nextChange(const MembershipFacts &facts)
{
    if (auto removal = removeLearner(facts)) {
        return removal;
    }
    if (auto promotion = promoteLearner(facts)) {
        return promotion;
    }
    if (auto removal = removeVoter(facts)) {
        return removal;
    }
    if (!facts.joiners.empty()) {
        return makeChange(facts.joiners.front(), wire::ChangeMember::CHANGE_ADD);
    }
    return std::nullopt;
}

std::size_t countVoters(const wire::Membership &membership)
{
    return static_cast<std::size_t>(
        std::count_if(membership.replicas().begin(), membership.replicas().end(), [](const wire::Replica &replica) {
            return replica.voter();
        }));
}

} // namespace bergamotweir::raft
