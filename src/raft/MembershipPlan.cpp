#include "raft/MembershipPlan.h"

#include <algorithm>

namespace bergamotweir::raft {

namespace {

wire::ChangeMember change(const wire::Replica &replica, wire::ChangeMember::Change what)
{
    wire::ChangeMember made;
    *made.mutable_replica() = replica;
    made.set_change(what);
    return made;
}

/** @return the newest other replica at the address of a member: a later member, or one that asks to join; or nullptr */
const wire::Replica *successorOf(const MembershipFacts &facts, const wire::Replica &member)
{
    for (const wire::Replica &joiner : facts.joiners) {
        if (joiner.address() == member.address()) {
            return &joiner;
        }
    }
    const wire::Replica *newest = &member;
    for (const wire::Replica &other : facts.members.replicas()) {
        if (other.address() == member.address()) {
            newest = &other;
        }
    }
    return newest->id() == member.id() ? nullptr : newest;
}

std::optional<wire::ChangeMember> removeLearner(const MembershipFacts &facts)
{
    for (const wire::Replica &member : facts.members.replicas()) {
        if (!member.voter() && (facts.unresponsive.contains(member.id()) || successorOf(facts, member) != nullptr)) {
            return change(member, wire::ChangeMember::CHANGE_REMOVE);
        }
    }
    return std::nullopt;
}

std::optional<wire::ChangeMember> promoteLearner(const MembershipFacts &facts)
{
    for (const wire::Replica &member : facts.members.replicas()) {
        if (!member.voter()) {
            return change(member, wire::ChangeMember::CHANGE_PROMOTE);
        }
    }
    return std::nullopt;
}

std::optional<wire::ChangeMember> removeVoter(const MembershipFacts &facts)
{
    const bool spare = countVoters(facts.members) > facts.wantedVoters;
    for (const wire::Replica &member : facts.members.replicas()) {
        if (!member.voter()) {
            continue;
        }
        const wire::Replica *const successor = successorOf(facts, member);
        const bool replaced = successor != nullptr && successor->voter();
        if (replaced || (spare && facts.unresponsive.contains(member.id()))) {
            return change(member, wire::ChangeMember::CHANGE_REMOVE);
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
        return change(facts.joiners.front(), wire::ChangeMember::CHANGE_ADD);
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
