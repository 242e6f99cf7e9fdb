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

/** @return how long the leader has not heard of a member; 0 for the leader itself */
std::chrono::nanoseconds silenceOf(const MembershipFacts &facts, const wire::Replica &member)
{
    const auto found = facts.silences.find(member.id());
    return found == facts.silences.end() ? std::chrono::nanoseconds(0) : found->second;
}

bool hasVoterAt(const MembershipFacts &facts, const std::string &address)
{
    const auto &members = facts.members.replicas();
    return std::any_of(members.begin(), members.end(), [&](const wire::Replica &member) {
        return member.voter() && member.address() == address;
    });
}

/** @return whether a replica at an address without a voter joins or has joined, to take the place of a lost one */
bool hasSuccessor(const MembershipFacts &facts)
{
    const auto isSuccessor = [&](const wire::Replica &replica) {
        return !replica.voter() && !hasVoterAt(facts, replica.address())
               && silenceOf(facts, replica) <= facts.voterTimeout;
    };
    return std::any_of(facts.joiners.begin(), facts.joiners.end(), isSuccessor)
           || std::any_of(facts.members.replicas().begin(), facts.members.replicas().end(), isSuccessor);
}

std::optional<wire::ChangeMember> removeLearner(const MembershipFacts &facts)
{
    for (const wire::Replica &member : facts.members.replicas()) {
        const bool isSilent = silenceOf(facts, member) > facts.learnerTimeout;
        if (!member.voter() && (isSilent || replacementFor(facts, member) != nullptr)) {
            return makeChange(member, wire::ChangeMember::CHANGE_REMOVE);
        }
    }
    return std::nullopt;
}

std::optional<wire::ChangeMember> promoteLearner(const MembershipFacts &facts)
{
    if (countVoters(facts.members) >= facts.wantedVoters) {
        return std::nullopt;
    }
    for (const wire::Replica &member : facts.members.replicas()) {
        if (!member.voter() && facts.caughtUp.contains(member.id())) {
            return makeChange(member, wire::ChangeMember::CHANGE_PROMOTE);
        }
    }
    return std::nullopt;
}

std::optional<wire::ChangeMember> removeVoter(const MembershipFacts &facts)
{
    const std::size_t voters = countVoters(facts.members);
    const bool canTakePlace = voters > facts.wantedVoters || hasSuccessor(facts);
    const wire::Replica *lost = nullptr;
    for (const wire::Replica &member : facts.members.replicas()) {
        if (!member.voter()) {
            continue;
        }
        const wire::Replica *const replacement = replacementFor(facts, member);
        if (replacement != nullptr && replacement->voter()) {
            return makeChange(member, wire::ChangeMember::CHANGE_REMOVE);
        }
        const bool isLost = silenceOf(facts, member) > facts.voterTimeout && (replacement != nullptr || canTakePlace);
        if (isLost && (lost == nullptr || silenceOf(facts, member) > silenceOf(facts, *lost))) {
            lost = &member;
        }
    }
    return lost != nullptr && voters >= facts.wantedVoters
               ? std::optional(makeChange(*lost, wire::ChangeMember::CHANGE_REMOVE))
               : std::nullopt;
}

} // namespace

std::optional<wire::ChangeMember> nextChange(const MembershipFacts &facts)
{
    if (auto removal = removeLearner(facts)) {
        return removal;
    }
    if (auto removal = removeVoter(facts)) {
        return removal;
    }
    if (auto promotion = promoteLearner(facts)) {
        return promotion;
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
