#include "ControlPump.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace bergamotweir;
using namespace std::chrono_literals;
using test::ControlPump;
using test::Fault;

namespace {

constexpr Fault AllFaults[] = {Fault::KillAgent,
                               Fault::RestartAgent,
                               Fault::FreezeAgent,
                               Fault::CutAgent,
                               Fault::CrashUpstream,
                               Fault::DrainUpstream,
                               Fault::MarkOut,
                               Fault::MarkIn,
                               Fault::ChangeLeader,
                               Fault::DelayNetwork};

/** Brings a fresh system to where every key is served. */
void settle(ControlPump &pump)
{
    pump.run(1500ms);
    REQUIRE_THAT(pump.broken, Catch::Equals(""));
    REQUIRE(pump.allServed());
    pump.longestGap = {};
}

} // namespace

TEST_CASE("control: agents announce themselves and every key gets one owner")
{
    ControlPump pump(1, 4);
    settle(pump);
    for (std::size_t agent = 0; agent < 4; ++agent) {
        REQUIRE(pump.served(agent) > 0);
    }
}

// A VM is lost with its agent. Callers of its keys get no answer until the lease has surely ended and others own them.
TEST_CASE("control: a killed agent's keys are served again within a second")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        ControlPump pump(seed, 4, true);
        settle(pump);
        pump.inject(Fault::KillAgent);
        pump.run(2000ms);
        REQUIRE_THAT(pump.broken, Catch::Equals(""));
        REQUIRE(pump.allServed());
        REQUIRE(pump.longestGap < 1s);
    }
}

// Only the upstream process dies; its agent sees it at once and gives the keys back without waiting for any lease.
TEST_CASE("control: a crashed upstream's keys are served again within 0.3 seconds")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        ControlPump pump(seed, 4);
        settle(pump);
        pump.inject(Fault::CrashUpstream);
        pump.run(1000ms);
        REQUIRE_THAT(pump.broken, Catch::Equals(""));
        REQUIRE(pump.allServed());
        REQUIRE(pump.longestGap < 300ms);
    }
}

// The leader's VM is lost. Agents that find the next one before their leases end go on without a gap, and no slice
// moves: a new leader that took all of them for lost would move every key.
TEST_CASE("control: a change of leader moves nothing and leaves no gap to speak of")
{
    ControlPump pump(3, 4);
    settle(pump);
    const std::string before = pump.state().services().begin()->second.slices().empty()
                                   ? ""
                                   : pump.state().fullUpdate().services(0).SerializeAsString();
    pump.inject(Fault::ChangeLeader);
    pump.run(1500ms);
    REQUIRE_THAT(pump.broken, Catch::Equals(""));
    REQUIRE(pump.allServed());
    REQUIRE(pump.state().fullUpdate().services(0).SerializeAsString() == before);
}

// A fleet is restarted VM by VM. Evened out after each return, every key would move twice; a VM that just returned
// takes the next one's keys instead, and the others are left alone.
TEST_CASE("control: a restarted agent takes over from the next one, without moves of others' keys")
{
    ControlPump pump(5, 4, true);
    settle(pump);
    pump.inject(Fault::KillAgent, 0);
    pump.run(1000ms);
    pump.heal();
    pump.run(1000ms);
    REQUIRE(pump.slices(0) == 0);
    const std::size_t others[] = {pump.slices(2), pump.slices(3)};
    const std::size_t next = pump.slices(1);
    pump.inject(Fault::KillAgent, 1);
    pump.run(1000ms);
    REQUIRE_THAT(pump.broken, Catch::Equals(""));
    REQUIRE(pump.slices(0) == next);
    REQUIRE(pump.slices(2) == others[0]);
    REQUIRE(pump.slices(3) == others[1]);
}

// Operators bring an upstream back and watch for it to take load; only restarts are waited out.
TEST_CASE("control: an upstream that is marked in again gets its share at once, step by step")
{
    ControlPump pump(6, 4);
    settle(pump);
    const std::size_t share = pump.slices(0);
    pump.inject(Fault::MarkOut, 0);
    pump.run(1500ms);
    REQUIRE(pump.slices(0) == 0);
    pump.inject(Fault::MarkIn, 0);
    std::size_t before = 0;
    for (int look = 0; look < 400; ++look) {
        pump.run(10ms);
        REQUIRE(pump.slices(0) <= before + 2);
        before = pump.slices(0);
    }
    REQUIRE(pump.slices(0) >= share - 1);
    REQUIRE_THAT(pump.broken, Catch::Equals(""));
}

// Every step of granting, renewing, revoking, releasing and moving meets every fault: the fault strikes just before
// the n-th thing that happens after a failure domain is marked out. A key with two owners, or work on one key at two
// upstreams, is the double payment; a key without an owner after all has healed is the payment that never goes out.
TEST_CASE("control: every fault at every step of a move leaves one owner, and all keys served once healed")
{
    for (const Fault fault : AllFaults) {
        for (std::uint64_t step = 0; step < 80; ++step) {
            INFO("fault " << static_cast<int>(fault) << " at step " << step);
            ControlPump pump(step + 1, 3);
            pump.run(1200ms);
            pump.inject(Fault::MarkOut, 0);
            pump.run(1200ms, fault, step);
            REQUIRE_THAT(pump.broken, Catch::Equals(""));
            pump.heal();
            pump.run(3500ms);
            REQUIRE_THAT(pump.broken, Catch::Equals(""));
            REQUIRE(pump.allServed());
        }
    }
}

TEST_CASE("control: any two faults together, by seed")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        INFO("seed " << seed);
        pcg32 choice(seed);
        ControlPump pump(seed, 4);
        pump.run(1200ms);
        for (int round = 0; round < 3; ++round) {
            pump.inject(AllFaults[choice(std::size(AllFaults))]);
            pump.run(std::chrono::milliseconds(50 + choice(900)), AllFaults[choice(std::size(AllFaults))], choice(60));
            REQUIRE_THAT(pump.broken, Catch::Equals(""));
        }
        pump.heal();
        pump.run(4000ms);
        REQUIRE_THAT(pump.broken, Catch::Equals(""));
        REQUIRE(pump.allServed());
    }
}

// Prints, for docs/design/ownership.md: run by name.
TEST_CASE("measure: longest time without service of any key, by fault, in fake time", "[.measure]")
{
    constexpr std::pair<Fault, const char *> Kinds[] = {{Fault::MarkOut, "planned move"},
                                                        {Fault::CrashUpstream, "upstream crash"},
                                                        {Fault::KillAgent, "agent kill"},
                                                        {Fault::ChangeLeader, "leader change"}};
    for (const auto &[fault, name] : Kinds) {
        std::vector<std::chrono::nanoseconds> gaps;
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            ControlPump pump(seed, 4, true);
            settle(pump);
            pump.inject(fault);
            pump.run(2000ms);
            REQUIRE_THAT(pump.broken, Catch::Equals(""));
            gaps.push_back(pump.longestGap);
        }
        std::sort(gaps.begin(), gaps.end());
        const auto inMilliseconds = [](std::chrono::nanoseconds gap) {
            return std::chrono::duration_cast<std::chrono::milliseconds>(gap).count();
        };
        WARN(name << ": p50 " << inMilliseconds(gaps[50]) << " ms, p99 " << inMilliseconds(gaps[98]) << " ms, most "
                  << inMilliseconds(gaps[99]) << " ms");
    }
}
