#include "agent/Lease.h"
#include "agent/Ownership.h"
#include "base/KeyHash.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

constexpr BootTime Now{10s};
constexpr std::uint64_t Boundary = hashOfNumberedKey(1000);

/** An agent whose upstream holds its own grants; it owns keys 0 to 999 under epoch 4. */
struct Agent {
    agent::RouteMap map;
    agent::Ownership ownership;
    agent::Lease lease;

    Agent()
    {
        wire::StateUpdate state;
        state.mutable_version()->set_index(1);
        state.set_full(true);
        wire::ServiceSlices &slices = *state.add_services();
        slices.set_service("seats");
        this->add(slices, 0, 7, 4);
        this->add(slices, Boundary, 8, 1);
        agent::apply(this->map, state);
        this->ownership.ownUpstreams = {7};
        this->ownership.upstreamsHoldGrants = true;
        this->ownership.predecessorGrantsExpired = true;
        this->lease.validUntil = Now + 1s;
    }

    static void add(wire::ServiceSlices &to, std::uint64_t begin, std::uint32_t owner, std::uint64_t epoch)
    {
        wire::SliceOwner &slice = *to.add_slices();
        slice.set_begin(begin);
        slice.set_owner(owner);
        slice.set_epoch(epoch);
    }

    void hold(std::uint64_t epoch, std::uint64_t last = Boundary - 1)
    {
        this->ownership.held["seats"] = {{0, last, epoch}};
    }

    agent::OwnershipRefusal check() const
    {
        agent::Slice slice;
        return agent::checkOwnership(
            this->ownership, this->map, this->lease, "seats", hashOfNumberedKey(5), Now, &slice);
    }

    void revoke()
    {
        wire::Revoke order;
        wire::SliceRef &slice = *order.add_slices();
        slice.set_service("seats");
        slice.set_epoch(4);
        agent::revoke(this->ownership, order);
    }
};

} // namespace

TEST_CASE("held keys: a key is dispatched to an upstream only while it holds the key under the epoch in force")
{
    Agent agent;
    REQUIRE(agent.check() == agent::OwnershipRefusal::Moving);
    agent.hold(3);
    REQUIRE(agent.check() == agent::OwnershipRefusal::Moving);
    agent.hold(4, hashOfNumberedKey(500));
    REQUIRE(agent.check() == agent::OwnershipRefusal::Moving);
    agent.hold(4);
    REQUIRE(agent.check() == agent::OwnershipRefusal::None);
    agent.lease.validUntil = Now - 1ms;
    REQUIRE(agent.check() == agent::OwnershipRefusal::NoLease);
}

/*
 * A slice moves to another upstream. The previous one receives the revoke only with its next heartbeat, up to a second
 * later, and serves the slice until then. If the slice were released before that, two upstreams would hold its keys; if
 * its requests were refused before that, callers would be refused without need.
 */
TEST_CASE("held keys: a revoked slice is served until the revoke is sent, and released once no longer held")
{
    Agent agent;
    agent.hold(4);
    agent.revoke();
    REQUIRE(agent.check() == agent::OwnershipRefusal::None);
    REQUIRE(agent::takeReleased(agent.ownership, agent.map).slices().empty());
    agent.ownership.revokesSent.insert({"seats", 0, 4});
    REQUIRE(agent.check() == agent::OwnershipRefusal::Moving);
    REQUIRE(agent::takeReleased(agent.ownership, agent.map).slices().empty());
    agent.ownership.handovers[{"seats", 0, 4}] = "state";
    agent.ownership.held["seats"].clear();
    agent::beginWork(agent.ownership, "seats", hashOfNumberedKey(5));
    REQUIRE(agent::takeReleased(agent.ownership, agent.map).slices().empty());
    agent::endWork(agent.ownership, "seats", hashOfNumberedKey(5));
    const wire::Released released = agent::takeReleased(agent.ownership, agent.map);
    REQUIRE(released.slices_size() == 1);
    REQUIRE(released.slices(0).handover() == "state");
    REQUIRE(agent.check() == agent::OwnershipRefusal::Moving);
}

TEST_CASE("held keys: a held part of a slice blocks its release, a held range of the next slice doesn't")
{
    Agent agent;
    agent.ownership.held["seats"] = {{hashOfNumberedKey(999), hashOfNumberedKey(999) + NumberedKeyWidth - 1, 2}};
    agent.revoke();
    REQUIRE(agent::takeReleased(agent.ownership, agent.map).slices().empty());
    agent.ownership.held["seats"] = {{Boundary, hashOfNumberedKey(1200), 4}};
    REQUIRE(agent::takeReleased(agent.ownership, agent.map).slices_size() == 1);
}

/*
 * An agent is killed and restarts while its upstream keeps running and holds the predecessor's grants. If the new
 * agent, which knows of no hold, released a revoked slice immediately, another upstream would get keys that the first
 * one still holds until the old grant expires.
 */
TEST_CASE("held keys: a new agent releases nothing before its upstream has released it, or old grants have expired")
{
    Agent agent;
    agent.ownership.predecessorGrantsExpired = false;
    agent.revoke();
    REQUIRE(agent::takeReleased(agent.ownership, agent.map).slices().empty());
    SECTION("the upstream reports what it holds, and then that it has released the slice")
    {
        agent.ownership.servicesReported.insert("seats");
        agent.hold(4);
        REQUIRE(agent::takeReleased(agent.ownership, agent.map).slices().empty());
        agent.ownership.handovers[{"seats", 0, 4}] = "state";
        REQUIRE(agent::takeReleased(agent.ownership, agent.map).slices().empty());
        agent.ownership.held.clear();
        REQUIRE(agent::takeReleased(agent.ownership, agent.map).slices_size() == 1);
    }
    SECTION("a late report, sent before the predecessor's last grant, doesn't list the slice")
    {
        agent.ownership.servicesReported.insert("seats");
        REQUIRE(agent::takeReleased(agent.ownership, agent.map).slices().empty());
        agent.ownership.predecessorGrantsExpired = true;
        REQUIRE(agent::takeReleased(agent.ownership, agent.map).slices_size() == 1);
    }
    SECTION("the upstream's process has ended")
    {
        agent.ownership.servicesReported.insert("seats");
        agent.ownership.servicesEnded.insert("seats");
        REQUIRE(agent::takeReleased(agent.ownership, agent.map).slices_size() == 1);
    }
    SECTION("it never reports, and the predecessor's grants have expired")
    {
        agent.ownership.predecessorGrantsExpired = true;
        REQUIRE(agent::takeReleased(agent.ownership, agent.map).slices_size() == 1);
    }
}
