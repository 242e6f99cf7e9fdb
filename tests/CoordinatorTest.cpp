#include "ControlSimulation.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace bergamotweir;
using namespace std::chrono_literals;
using test::ControlSimulation;
using test::Fault;

namespace {

constexpr Fault AllFaults[] = {Fault::KillAgent,
                               Fault::RestartAgent,
                               Fault::FreezeAgent,
                               Fault::PartitionAgent,
                               Fault::CrashUpstream,
                               Fault::DrainUpstream,
                               Fault::MarkOut,
                               Fault::MarkIn,
                               Fault::ChangeLeader,
                               Fault::DelayNetwork};

/** Runs a new system until every key is served. */
void runUntilServed(ControlSimulation &simulation)
{
    simulation.run(1500ms);
    REQUIRE_THAT(simulation.violation, Catch::Equals(""));
    REQUIRE(simulation.allServed());
    simulation.maxServiceGap = {};
}

} // namespace

TEST_CASE("control: agents announce themselves and every key gets one owner")
{
    ControlSimulation simulation(1, 4);
    runUntilServed(simulation);
    for (std::size_t agent = 0; agent < 4; ++agent) {
        REQUIRE(simulation.served(agent) > 0);
    }
}

// A VM fails together with its agent. Its keys are unserved until its lease must have ended and they have other owners.
TEST_CASE("control: a killed agent's keys are served again within a second")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        ControlSimulation simulation(seed, 4, true);
        runUntilServed(simulation);
        simulation.inject(Fault::KillAgent);
        simulation.run(2000ms);
        REQUIRE_THAT(simulation.violation, Catch::Equals(""));
        REQUIRE(simulation.allServed());
        REQUIRE(simulation.maxServiceGap < 1s);
    }
}

// Only the upstream process crashes; its agent detects it at once and releases the keys without waiting for a lease.
TEST_CASE("control: a crashed upstream's keys are served again within 0.3 seconds")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        ControlSimulation simulation(seed, 4);
        runUntilServed(simulation);
        simulation.inject(Fault::CrashUpstream);
        simulation.run(1000ms);
        REQUIRE_THAT(simulation.violation, Catch::Equals(""));
        REQUIRE(simulation.allServed());
        REQUIRE(simulation.maxServiceGap < 300ms);
    }
}

// The leader's VM fails. Agents that find the next leader before their leases end serve without a gap. A new leader
// that declared all agents lost would move every key.
TEST_CASE("control: a change of leader moves nothing and leads to no gap in service")
{
    ControlSimulation simulation(3, 4);
    runUntilServed(simulation);
    const std::string before = simulation.state().services().begin()->second.slices().empty()
                                   ? ""
                                   : simulation.state().fullUpdate().services(0).SerializeAsString();
    simulation.inject(Fault::ChangeLeader);
    simulation.run(1500ms);
    REQUIRE_THAT(simulation.violation, Catch::Equals(""));
    REQUIRE(simulation.allServed());
    REQUIRE(simulation.state().fullUpdate().services(0).SerializeAsString() == before);
}

// In a rolling restart every key would move twice if load were rebalanced after each VM. Instead a restarted VM gets
// the keys of the next VM, and the other VMs keep theirs.
TEST_CASE("control: a restarted agent takes over from the next one, without moves of others' keys")
{
    ControlSimulation simulation(5, 4, true);
    runUntilServed(simulation);
    simulation.inject(Fault::KillAgent, 0);
    simulation.run(1000ms);
    simulation.heal();
    simulation.run(1000ms);
    REQUIRE(simulation.slices(0) == 0);
    const std::size_t others[] = {simulation.slices(2), simulation.slices(3)};
    const std::size_t next = simulation.slices(1);
    simulation.inject(Fault::KillAgent, 1);
    simulation.run(1000ms);
    REQUIRE_THAT(simulation.violation, Catch::Equals(""));
    REQUIRE(simulation.slices(0) == next);
    REQUIRE(simulation.slices(2) == others[0]);
    REQUIRE(simulation.slices(3) == others[1]);
}

// An operator marks an upstream in and expects it to get load at once; only restarts delay rebalancing.
TEST_CASE("control: an upstream that is marked in again gets its share without a delay, step by step")
{
    ControlSimulation simulation(6, 4);
    runUntilServed(simulation);
    const std::size_t share = simulation.slices(0);
    simulation.inject(Fault::MarkOut, 0);
    simulation.run(1500ms);
    REQUIRE(simulation.slices(0) == 0);
    simulation.inject(Fault::MarkIn, 0);
    std::size_t before = 0;
    for (int look = 0; look < 400; ++look) {
        simulation.run(10ms);
        REQUIRE(simulation.slices(0) <= before + 2);
        before = simulation.slices(0);
    }
    REQUIRE(simulation.slices(0) >= share - 1);
    REQUIRE_THAT(simulation.violation, Catch::Equals(""));
}

// Combines every step of granting, renewing, revoking, releasing and moving with every fault: the fault is injected
// just before the n-th event after an upstream is marked out. A key with two owners, or work on one key at two
// upstreams, would be a double payment. A key without an owner after all faults have ended would be a payment that is
// never made.
TEST_CASE("control: every fault at every step of a move leaves one owner, and all keys served once healed")
{
    for (const Fault fault : AllFaults) {
        for (std::uint64_t step = 0; step < 80; ++step) {
            INFO("fault " << static_cast<int>(fault) << " at step " << step);
            ControlSimulation simulation(step + 1, 3);
            simulation.run(1200ms);
            simulation.inject(Fault::MarkOut, 0);
            simulation.run(1200ms, fault, step);
            REQUIRE_THAT(simulation.violation, Catch::Equals(""));
            simulation.heal();
            simulation.run(3500ms);
            REQUIRE_THAT(simulation.violation, Catch::Equals(""));
            REQUIRE(simulation.allServed());
        }
    }
}

TEST_CASE("control: any two faults together, by seed")
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        INFO("seed " << seed);
        pcg32 choice(seed);
        ControlSimulation simulation(seed, 4);
        simulation.run(1200ms);
        for (int round = 0; round < 3; ++round) {
            simulation.inject(AllFaults[choice(std::size(AllFaults))]);
            simulation.run(
                std::chrono::milliseconds(50 + choice(900)), AllFaults[choice(std::size(AllFaults))], choice(60));
            REQUIRE_THAT(simulation.violation, Catch::Equals(""));
        }
        simulation.heal();
        simulation.run(4000ms);
        REQUIRE_THAT(simulation.violation, Catch::Equals(""));
        REQUIRE(simulation.allServed());
    }
}

// Prints figures for docs/design/ownership.md; run by name.
TEST_CASE("measure: longest time without service of any key, by fault, in fake time", "[.measure]")
{
    constexpr std::pair<Fault, const char *> Kinds[] = {{Fault::MarkOut, "planned move"},
                                                        {Fault::CrashUpstream, "upstream crash"},
                                                        {Fault::KillAgent, "agent kill"},
                                                        {Fault::ChangeLeader, "leader change"}};
    for (const auto &[fault, name] : Kinds) {
        std::vector<std::chrono::nanoseconds> gaps;
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            ControlSimulation simulation(seed, 4, true);
            runUntilServed(simulation);
            simulation.inject(fault);
            simulation.run(2000ms);
            REQUIRE_THAT(simulation.violation, Catch::Equals(""));
            gaps.push_back(simulation.maxServiceGap);
        }
        std::sort(gaps.begin(), gaps.end());
        const auto inMilliseconds = [](std::chrono::nanoseconds gap) {
            return std::chrono::duration_cast<std::chrono::milliseconds>(gap).count();
        };
        WARN(name << ": p50 " << inMilliseconds(gaps[50]) << " ms, p99 " << inMilliseconds(gaps[98]) << " ms, most "
                  << inMilliseconds(gaps[99]) << " ms");
    }
}

// Guards against a leader that is busy comparing all agents at each tick: nothing has changed for most of them.
TEST_CASE("control: an idle agent is checked once a second, not at each tick")
{
    for (const std::size_t agents : {2U, 4U, 8U}) {
        CAPTURE(agents);
        ControlSimulation simulation(5, agents);
        runUntilServed(simulation);
        // Longer than rebalancing takes to settle.
        simulation.run(8s);
        const std::uint64_t before = simulation.coordinator().agentChecks();
        simulation.run(4s);
        CHECK(simulation.coordinator().agentChecks() - before <= 5 * agents);
    }
}
