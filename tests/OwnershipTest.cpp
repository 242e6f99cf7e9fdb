#include "agent/Ownership.h"
#include "agent/Lease.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Half = 1ULL << 63U;
constexpr BootTime Now{10s};

wire::StateUpdate update(std::uint64_t index, bool full)
{
    wire::StateUpdate change;
    change.mutable_version()->set_term(3);
    change.mutable_version()->set_index(index);
    change.set_full(full);
    return change;
}

void assign(wire::StateUpdate &change, std::uint64_t begin, std::uint32_t owner, std::uint64_t epoch)
{
    if (change.services().empty()) {
        change.add_services()->set_service("catalogue");
    }
    wire::SliceOwner *slice = change.mutable_services(0)->add_slices();
    slice->set_begin(begin);
    slice->set_owner(owner);
    slice->set_epoch(epoch);
}

/** An agent of upstream 7, which owns the lower half under epoch 1. */
struct Agent {
    agent::RouteMap map;
    agent::Ownership ownership;
    agent::Lease lease;

    Agent()
    {
        wire::StateUpdate state = update(1, true);
        assign(state, 0, 7, 1);
        assign(state, Half, 8, 1);
        agent::apply(this->map, state);
        this->ownership.ownUpstreams = {7};
        this->lease.validUntil = Now + 500ms;
    }

    agent::OwnershipRefusal check(std::uint64_t hash, BootTime now = Now) const
    {
        agent::Slice slice;
        return agent::checkOwnership(this->ownership, this->map, this->lease, "catalogue", hash, now, &slice);
    }

    void revoke(std::uint64_t begin, std::uint64_t epoch)
    {
        wire::Revoke order;
        wire::SliceRef *slice = order.add_slices();
        slice->set_service("catalogue");
        slice->set_begin(begin);
        slice->set_epoch(epoch);
        agent::revoke(this->ownership, order);
    }
};

} // namespace

TEST_CASE("an agent serves only slices that it owns, under a valid lease, and not those being moved")
{
    Agent agent;
    REQUIRE(agent.check(5) == agent::OwnershipRefusal::None);
    REQUIRE(agent.check(Half) == agent::OwnershipRefusal::NotOwner);
    REQUIRE(agent.check(5, Now + 500ms) == agent::OwnershipRefusal::NoLease);
    agent.revoke(0, 1);
    REQUIRE(agent.check(5) == agent::OwnershipRefusal::Moving);
    REQUIRE(agent::checkOwnership(agent.ownership, agent.map, agent.lease, "enrolments", 5, Now, nullptr)
            == agent::OwnershipRefusal::NotOwner);
}

// Guards against undoing an operator's change: an agent reconnects to a replica on the other side of a partition, which
// sends the state from before the change.
TEST_CASE("an older state is ignored, whether full or not")
{
    Agent agent;
    wire::StateUpdate change = update(5, false);
    change.mutable_table()->set_table_version(2);
    REQUIRE(agent::apply(agent.map, change) == agent::UpdateOutcome::Applied);
    wire::StateUpdate old = update(4, true);
    old.mutable_table()->set_table_version(1);
    REQUIRE(agent::apply(agent.map, old) == agent::UpdateOutcome::Older);
    REQUIRE(agent.map.tableVersion == 2);
    REQUIRE(agent.check(5) == agent::OwnershipRefusal::None);
    wire::StateUpdate lowerTerm = update(9, true);
    lowerTerm.mutable_version()->set_term(2);
    REQUIRE(agent::apply(agent.map, lowerTerm) == agent::UpdateOutcome::Older);
}

// Guards against a request that runs while another upstream owns its key: the slice is split while the request runs,
// then the upper part is revoked and released because the work is looked up under the new slice only.
TEST_CASE("a slice is released only when no work is in progress on any of its keys, also after a split")
{
    Agent agent;
    agent::beginWork(agent.ownership, "catalogue", 100);
    wire::StateUpdate split = update(2, false);
    assign(split, 50, 7, 2);
    agent::apply(agent.map, split);
    agent.revoke(50, 2);
    REQUIRE(agent::takeReleased(agent.ownership, agent.map).slices().empty());
    REQUIRE(agent.check(100) == agent::OwnershipRefusal::Moving);
    REQUIRE(agent.check(49) == agent::OwnershipRefusal::None);
    agent.revoke(0, 1);
    REQUIRE(agent::takeReleased(agent.ownership, agent.map).slices_size() == 1);
    agent::endWork(agent.ownership, "catalogue", 100);
    REQUIRE(agent::takeReleased(agent.ownership, agent.map).slices(0).begin() == 50);
    REQUIRE(agent.check(100) == agent::OwnershipRefusal::Moving);
}

// Guards against two owners of a key: an agent releases it, the leader grants it to another and fails, and the first
// state of the new leader, one commit behind, still has the agent as the owner.
TEST_CASE("a released epoch is never served again, and is reported to a new leader")
{
    Agent agent;
    agent.revoke(0, 1);
    agent::takeReleased(agent.ownership, agent.map);
    REQUIRE(agent.check(5) == agent::OwnershipRefusal::Moving);
    REQUIRE(agent::resumeReleased(agent.ownership, agent.map).slices_size() == 1);
    REQUIRE(agent.check(5) == agent::OwnershipRefusal::Moving);
    wire::StateUpdate regrant = update(3, false);
    assign(regrant, 0, 7, 2);
    agent::apply(agent.map, regrant);
    REQUIRE(agent.check(5) == agent::OwnershipRefusal::None);
    REQUIRE(agent::resumeReleased(agent.ownership, agent.map).slices().empty());
}

// Guards against two owners of a key: the session breaks between Revoke and Released, and the agent serves the key
// again, while the same leader has received a Released of another slice.
TEST_CASE("a revocation outlasts its session until the work in progress has ended")
{
    Agent agent;
    agent::beginWork(agent.ownership, "catalogue", 5);
    agent.revoke(0, 1);
    REQUIRE(agent::takeReleased(agent.ownership, agent.map).slices().empty());
    REQUIRE(agent::resumeReleased(agent.ownership, agent.map).slices().empty());
    REQUIRE(agent.check(5) == agent::OwnershipRefusal::Moving);
    agent::endWork(agent.ownership, "catalogue", 5);
    REQUIRE(agent::takeReleased(agent.ownership, agent.map).slices_size() == 1);
}
