#include "agent/Lease.h"

#include <catch2/catch.hpp>
#include <control.pb.h>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

wire::Renewed renewedFor(std::uint64_t sequence)
{
    wire::Renewed renewed;
    renewed.set_sequence(sequence);
    renewed.set_lease_ms(500);
    return renewed;
}

agent::Lease openLease()
{
    agent::Lease lease;
    agent::beginSession(lease, 1);
    agent::recordFullState(lease, 1);
    return lease;
}

} // namespace

// Guards against two owners of a key. An agent is frozen right after it sent a heartbeat and reads the confirmation
// after control has granted its keys to another. A lease counted from the arrival of the confirmation would be valid
// again.
TEST_CASE("a lease runs from the moment its renewal was sent")
{
    agent::Lease lease = openLease();
    const BootTime sent{10s};
    const std::uint64_t sequence = agent::recordRenewal(lease, sent);
    REQUIRE_FALSE(agent::isValidAt(lease, sent));
    REQUIRE(agent::confirmRenewal(lease, 1, renewedFor(sequence)));
    REQUIRE(agent::isValidAt(lease, sent + 499ms));
    REQUIRE_FALSE(agent::isValidAt(lease, sent + 500ms));
}

// Guards against serving with an outdated map: a session breaks, a new leader is elected, and a delayed confirmation of
// the previous session is taken for one of the new leader.
TEST_CASE("a renewal counts only on its own session and after that session's full state")
{
    agent::Lease lease = openLease();
    const std::uint64_t old = agent::recordRenewal(lease, BootTime(10s));
    agent::endSession(lease);
    REQUIRE_FALSE(agent::confirmRenewal(lease, 1, renewedFor(old)));
    agent::beginSession(lease, 2);
    const std::uint64_t early = agent::recordRenewal(lease, BootTime(11s));
    REQUIRE_FALSE(agent::confirmRenewal(lease, 2, renewedFor(early)));
    agent::recordFullState(lease, 1);
    REQUIRE_FALSE(agent::confirmRenewal(lease, 2, renewedFor(early)));
    agent::recordFullState(lease, 2);
    REQUIRE_FALSE(agent::confirmRenewal(lease, 2, renewedFor(old)));
    REQUIRE_FALSE(agent::confirmRenewal(lease, 1, renewedFor(early)));
    REQUIRE(agent::confirmRenewal(lease, 2, renewedFor(early)));
    REQUIRE(agent::isValidAt(lease, BootTime(11s)));
}

TEST_CASE("confirmations out of order or duplicated neither shorten nor extend the lease")
{
    agent::Lease lease = openLease();
    const std::uint64_t first = agent::recordRenewal(lease, BootTime(10s));
    const std::uint64_t second = agent::recordRenewal(lease, BootTime(10s + 100ms));
    REQUIRE(agent::confirmRenewal(lease, 1, renewedFor(second)));
    REQUIRE_FALSE(agent::confirmRenewal(lease, 1, renewedFor(first)));
    REQUIRE_FALSE(agent::confirmRenewal(lease, 1, renewedFor(second)));
    REQUIRE(lease.validUntil == BootTime(10s + 600ms));
}
