#include "raft/MembershipPlan.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;

namespace {

constexpr std::size_t WantedVoters = 5;
constexpr std::chrono::seconds VoterTimeout{1};
constexpr std::chrono::seconds LearnerTimeout{8};
/** Silence of a replica that is lost. */
constexpr std::chrono::seconds LongSilence{20};

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
    facts.wantedVoters = WantedVoters;
    facts.voterTimeout = VoterTimeout;
    facts.learnerTimeout = LearnerTimeout;
    for (std::size_t number = 0; number < voters; ++number) {
        const std::string name = std::to_string(number);
        *facts.members.add_replicas() = replica("r" + name, "vm" + name, true);
    }
    return facts;
}

void setLost(raft::MembershipFacts &facts, const std::vector<std::string> &ids)
{
    for (const std::string &id : ids) {
        facts.silences[id] = LongSilence;
    }
}

/** Applies a change to the membership; a learner counts as caught up at once. */
void applyChange(raft::MembershipFacts &facts, const wire::ChangeMember &change)
{
    wire::Membership next;
    for (const wire::Replica &member : facts.members.replicas()) {
        const bool isTarget = member.id() == change.replica().id();
        if (isTarget && change.change() == wire::ChangeMember::CHANGE_REMOVE) {
            continue;
        }
        *next.add_replicas() = member;
        if (isTarget && change.change() == wire::ChangeMember::CHANGE_PROMOTE) {
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

/**
 * Applies changes until there are none left. Checks before each one that the responsive voters are a majority.
 * @return the minimum number of responsive voters at any step
 */
std::size_t applyAllChanges(raft::MembershipFacts &facts)
{
    std::size_t minResponsive = 100;
    for (int step = 0; step < 30; ++step) {
        std::size_t responsive = 0;
        for (const wire::Replica &member : facts.members.replicas()) {
            responsive += member.voter() && !facts.silences.contains(member.id()) ? 1 : 0;
        }
        minResponsive = std::min(minResponsive, responsive);
        REQUIRE(2 * responsive > raft::countVoters(facts.members));
        facts.caughtUp.clear();
        for (const wire::Replica &member : facts.members.replicas()) {
            if (!facts.silences.contains(member.id())) {
                facts.caughtUp.insert(member.id());
            }
        }
        const auto change = raft::nextChange(facts);
        if (!change) {
            return minResponsive;
        }
        applyChange(facts, *change);
    }
    FAIL("the membership changes of the group did not end after 30 steps");
    return 0;
}

} // namespace

TEST_CASE("group: three initial voters add two more, one change at a time")
{
    raft::MembershipFacts facts = groupOf(3);
    facts.joiners = {replica("r3", "vm3", false), replica("r4", "vm4", false)};
    applyAllChanges(facts);
    REQUIRE(raft::countVoters(facts.members) == 5);
}

/*
 * Guards against members that never answer again: two VMs restart with empty disks at their old addresses, without
 * notice to the group. If the old replicas stayed members, every further loss would add to these two.
 */
TEST_CASE("group: two replicas with empty disks replace the old ones at the same addresses")
{
    raft::MembershipFacts facts = groupOf(5);
    setLost(facts, {"r1", "r3"});
    facts.joiners = {replica("n1", "vm1", false), replica("n3", "vm3", false)};
    REQUIRE(applyAllChanges(facts) == 3);
    REQUIRE(raft::countVoters(facts.members) == 5);
    for (const wire::Replica &member : facts.members.replicas()) {
        REQUIRE_FALSE(facts.silences.contains(member.id()));
    }
}

TEST_CASE("group: a replica at a new address takes the place of an unresponsive one")
{
    raft::MembershipFacts facts = groupOf(5);
    setLost(facts, {"r2"});
    facts.joiners = {replica("n", "vm9", false)};
    applyAllChanges(facts);
    REQUIRE(raft::countVoters(facts.members) == 5);
    REQUIRE(std::none_of(facts.members.replicas().begin(), facts.members.replicas().end(), [](const auto &member) {
        return member.id() == "r2";
    }));
}

TEST_CASE("group: an unresponsive replica stays a member while nobody takes its place")
{
    raft::MembershipFacts facts = groupOf(5);
    setLost(facts, {"r0", "r1"});
    REQUIRE_FALSE(raft::nextChange(facts));
}

TEST_CASE("group: a silent or replaced learner is removed before it holds up other changes")
{
    raft::MembershipFacts facts = groupOf(5);
    *facts.members.add_replicas() = replica("n1", "vm1", false);
    facts.joiners = {replica("n2", "vm1", false)};
    setLost(facts, {"r1", "n1"});
    const auto first = raft::nextChange(facts);
    REQUIRE(first->change() == wire::ChangeMember::CHANGE_REMOVE);
    REQUIRE(first->replica().id() == "n1");
    applyAllChanges(facts);
    REQUIRE(raft::countVoters(facts.members) == 5);
}

// Guards against a learner that doesn't answer and delays the others until its time-out.
TEST_CASE("group: a learner that has not caught up delays no other replica")
{
    raft::MembershipFacts facts = groupOf(5);
    setLost(facts, {"r3", "r4"});
    *facts.members.add_replicas() = replica("n3", "vm3", false);
    facts.silences["n3"] = std::chrono::milliseconds(500);
    facts.joiners = {replica("n4", "vm4", false)};
    const auto removal = raft::nextChange(facts);
    REQUIRE(removal->change() == wire::ChangeMember::CHANGE_REMOVE);
    applyChange(facts, *removal);
    const auto addition = raft::nextChange(facts);
    REQUIRE(addition->change() == wire::ChangeMember::CHANGE_ADD);
    REQUIRE(addition->replica().id() == "n4");
    applyChange(facts, *addition);
    REQUIRE_FALSE(raft::nextChange(facts));
    facts.caughtUp = {"n4"};
    REQUIRE(raft::nextChange(facts)->replica().id() == "n4");
}
