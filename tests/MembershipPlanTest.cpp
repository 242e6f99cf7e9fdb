#include "raft/MembershipPlan.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;

namespace {

constexpr std::size_t Wanted = 5;

wire::Replica replica(const std::string &id, const std::string &address, bool voter)
{
    wire::Replica made;
    made.set_id(id);
    made.set_address(address);
    made.set_voter(voter);
    return made;
}

raft::MembershipFacts groupOf(std::size_t voters)
{
    raft::MembershipFacts facts;
    facts.wantedVoters = Wanted;
    for (std::size_t number = 0; number < voters; ++number) {
        const std::string name = std::to_string(number);
        *facts.members.add_replicas() = replica("r" + name, "vm" + name, true);
    }
    return facts;
}

/** Carries out a change as consensus would; a learner has caught up at once. */
void carryOut(raft::MembershipFacts &facts, const wire::ChangeMember &change)
{
    wire::Membership next;
    for (const wire::Replica &member : facts.members.replicas()) {
        const bool meant = member.id() == change.replica().id();
        if (meant && change.change() == wire::ChangeMember::CHANGE_REMOVE) {
            continue;
        }
        *next.add_replicas() = member;
        if (meant && change.change() == wire::ChangeMember::CHANGE_PROMOTE) {
            next.mutable_replicas(next.replicas_size() - 1)->set_voter(true);
        }
    }
    if (change.change() == wire::ChangeMember::CHANGE_ADD) {
        *next.add_replicas() = replica(change.replica().id(), change.replica().address(), false);
    }
    facts.members = next;
    std::erase_if(facts.joiners, [&](const wire::Replica &joiner) {
        return joiner.id() == change.replica().id();
    });
}

/** Makes every change there is. @return how many voters there were at the fewest that aren't gone */
std::size_t settle(raft::MembershipFacts &facts)
{
    std::size_t fewest = 100;
    for (int step = 0; step < 30; ++step) {
        std::size_t answering = 0;
        for (const wire::Replica &member : facts.members.replicas()) {
            answering += member.voter() && !facts.unresponsive.contains(member.id()) ? 1 : 0;
        }
        fewest = std::min(fewest, answering);
        REQUIRE(2 * answering > raft::countVoters(facts.members));
        const auto change = raft::nextChange(facts);
        if (!change) {
            return fewest;
        }
        carryOut(facts, *change);
    }
    FAIL("the group changes without end");
    return 0;
}

} // namespace

TEST_CASE("group: three founders take in two more by themselves, one change at a time")
{
    raft::MembershipFacts facts = groupOf(3);
    facts.joiners = {replica("r3", "vm3", false), replica("r4", "vm4", false)};
    settle(facts);
    REQUIRE(raft::countVoters(facts.members) == 5);
}

/*
 * Two VMs lose their disks and come back empty at their old addresses. Nobody tells the group; were their old names
 * kept, every further loss would count on top of two replicas that never answer again.
 */
TEST_CASE("group: two replicas with empty disks at old addresses take the places of the old ones")
{
    raft::MembershipFacts facts = groupOf(5);
    facts.unresponsive = {"r1", "r3"};
    facts.joiners = {replica("n1", "vm1", false), replica("n3", "vm3", false)};
    REQUIRE(settle(facts) == 3);
    REQUIRE(raft::countVoters(facts.members) == 5);
    for (const wire::Replica &member : facts.members.replicas()) {
        REQUIRE_FALSE(facts.unresponsive.contains(member.id()));
    }
}

TEST_CASE("group: a replica at a new address takes the place of one that is gone for good")
{
    raft::MembershipFacts facts = groupOf(5);
    facts.unresponsive = {"r2"};
    facts.joiners = {replica("n", "vm9", false)};
    settle(facts);
    REQUIRE(raft::countVoters(facts.members) == 5);
    REQUIRE(std::none_of(facts.members.replicas().begin(), facts.members.replicas().end(), [](const auto &member) {
        return member.id() == "r2";
    }));
}

TEST_CASE("group: a replica that is only away stays a member while nobody comes in its place")
{
    raft::MembershipFacts facts = groupOf(5);
    facts.unresponsive = {"r0", "r1"};
    REQUIRE_FALSE(raft::nextChange(facts));
}

TEST_CASE("group: a learner that fell silent or was replaced again is removed before it holds up others")
{
    raft::MembershipFacts facts = groupOf(5);
    *facts.members.add_replicas() = replica("n1", "vm1", false);
    facts.joiners = {replica("n2", "vm1", false)};
    facts.unresponsive = {"r1", "n1"};
    const auto first = raft::nextChange(facts);
    REQUIRE(first->change() == wire::ChangeMember::CHANGE_REMOVE);
    REQUIRE(first->replica().id() == "n1");
    settle(facts);
    REQUIRE(raft::countVoters(facts.members) == 5);
}
