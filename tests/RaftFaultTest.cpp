#include "RaftScenario.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace bergamotweir::tests;
using namespace std::chrono_literals;
using Change = wire::ChangeMember;

namespace {

constexpr std::chrono::milliseconds MaxWait{20000};

/** A protocol in progress when a fault is injected. */
struct Protocol {
    const char *name;
    void (*begin)(RaftPump &pump);
    /** Number of voters that it removes. */
    unsigned removedVoters = 0;
};

const std::vector<Protocol> &protocols()
{
    static const std::vector<Protocol> all{
        {"election",
         [](RaftPump &pump) {
             const std::string leader = pump.leader()->id;
             pump.kill(leader);
             pump.start(leader);
         }},
        {"append", [](RaftPump &) {}},
        {"snapshot",
         [](RaftPump &pump) {
             const std::string late = follower(pump)->id;
             pump.kill(late);
             pump.runFor(600ms);
             pump.start(late);
         }},
        {"membership, add",
         [](RaftPump &pump) {
             pump.start("d", true);
             ensureChange(pump, "d", Change::CHANGE_ADD);
         }},
        {"membership, promote",
         [](RaftPump &pump) {
             pump.start("d", true);
             pump.runUntil(
                 [&pump] {
                     return ensureChange(pump, "d", Change::CHANGE_ADD);
                 },
                 MaxWait);
             pump.runFor(100ms);
             ensureChange(pump, "d", Change::CHANGE_PROMOTE);
         }},
        {"membership, remove the leader",
         [](RaftPump &pump) {
             ensureChange(pump, pump.leader()->id, Change::CHANGE_REMOVE);
         },
         1},
        {"leadership transfer",
         [](RaftPump &pump) {
             pump.callLeader([](raft::RaftCore &core, raft::RequestId) {
                 core.transferLeadership();
             });
         }},
    };
    return all;
}

void requireNoViolations(const RaftPump &pump)
{
    for (const std::string &violation : pump.checks.violations) {
        INFO(violation);
        REQUIRE(pump.checks.violations.empty());
    }
}

/** After all faults end, the group must commit again, have every replica as a voter, and converge to one state. */
void requireRecovery(RaftPump &pump)
{
    healAll(pump);
    const std::uint64_t before = pump.acknowledged;
    const bool finished = pump.runUntil(
        [&] {
            return repairMembership(pump) && pump.acknowledged > before + 3;
        },
        MaxWait);
    requireNoViolations(pump);
    REQUIRE(finished);
    pump.isLoaded = false;
    const bool same = pump.runUntil(
        [&] {
            return hasConverged(pump);
        },
        MaxWait);
    requireNoViolations(pump);
    REQUIRE(same);
}

void requireStarted(RaftPump &pump)
{
    REQUIRE(pump.runUntil(
        [&] {
            return pump.leader() != nullptr && pump.acknowledged > 5;
        },
        MaxWait));
}

void runEvents(RaftPump &pump, std::uint64_t events)
{
    const std::uint64_t end = pump.steps + events;
    while (pump.steps < end) {
        pump.step();
    }
}

std::vector<std::string> replicaIds(unsigned size)
{
    const std::vector<std::string> ids{"a", "b", "c", "e", "f"};
    return {ids.begin(), ids.begin() + size};
}

/** Returns how many disks can be lost: a majority of the voters must keep theirs at any time. */
unsigned tolerableDiskLosses(unsigned size, const Protocol &protocol)
{
    return (size - protocol.removedVoters - 1) / 2;
}

std::string anyReplica(RaftPump &pump)
{
    return std::next(pump.replicas.begin(), pump.random(static_cast<std::uint32_t>(pump.replicas.size())))->first;
}

} // namespace

// Guards against two leaders, lost acknowledged writes and a control group that stops after a single fault.
// Each protocol is started, the fault hits the leader or a follower at one of its steps, and ends after a while.
// RaftChecks.h lists the properties checked after every event.
TEST_CASE("a single fault at any step of any protocol violates no property and is recovered from", "[raft]")
{
    std::uint64_t seed = 1;
    for (const Protocol &protocol : protocols()) {
        for (const Fault &fault : faults()) {
            for (const bool hitsLeader : {true, false}) {
                for (unsigned point = 0; point < 8; ++point) {
                    seed++;
                    INFO(protocol.name << ", " << fault.name << (hitsLeader ? " at the leader" : " at a follower")
                                       << ", seed " << seed);
                    RaftPump pump(seed, replicaIds(protocol.removedVoters > 0 ? 5 : 3));
                    requireStarted(pump);
                    const std::string leader = pump.leader()->id;
                    const std::string other = follower(pump)->id;
                    protocol.begin(pump);
                    runEvents(pump, point * 40 + pump.random(40));
                    fault.inject(pump, hitsLeader ? leader : other);
                    pump.runFor(std::chrono::milliseconds(50 + pump.random(800)));
                    requireRecovery(pump);
                    REQUIRE(pump.confirmed > 0);
                }
            }
        }
    }
}

// Guards against the same failures with two overlapping faults, such as a frozen replica while another loses its disk.
// Both start at any step of a protocol. A group of three must tolerate one lost disk, a group of five two.
TEST_CASE("any two overlapping faults violate no property and are recovered from", "[raft]")
{
    for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
        const unsigned size = seed % 3 == 0 ? 5 : 3;
        RaftPump pump(seed, replicaIds(size));
        requireStarted(pump);
        const Protocol &protocol = protocols()[pump.random(static_cast<std::uint32_t>(protocols().size()))];
        unsigned remainingLosses = tolerableDiskLosses(size, protocol);
        protocol.begin(pump);
        runEvents(pump, pump.random(300));
        std::string injected;
        for (int count = 0; count < 2; ++count) {
            const Fault &fault = faults()[pump.random(static_cast<std::uint32_t>(faults().size()))];
            const bool losesDisk = std::string(fault.name) == "lost disk";
            if (losesDisk && remainingLosses == 0) {
                continue;
            }
            remainingLosses -= losesDisk ? 1 : 0;
            injected += std::string(", ") + fault.name;
            fault.inject(pump, anyReplica(pump));
            runEvents(pump, pump.random(300));
        }
        INFO(protocol.name << injected << ", seed " << seed);
        pump.runFor(std::chrono::milliseconds(50 + pump.random(800)));
        requireRecovery(pump);
    }
}

// Guards against elections that follow each other faster than votes reach slow disks, so that no leader lasts.
TEST_CASE("raft: a group that starts on slow disks elects one leader within three seconds")
{
    const std::vector<std::string> ids{"a", "b", "c", "d", "e"};
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        RaftPump pump(seed, ids);
        pump.isLoaded = false;
        const auto hasLeader = [&pump] {
            return pump.leader() != nullptr;
        };
        REQUIRE(pump.runUntil(hasLeader, MaxWait));
        pump.runFor(500ms);
        for (const std::string &id : ids) {
            pump.kill(id);
            pump.at(id).disk.mode = DiskMode::Slow;
        }
        for (const std::string &id : ids) {
            pump.start(id);
        }
        REQUIRE(pump.runUntil(hasLeader, 3s));
        const std::uint64_t term = pump.leader()->core->term();
        pump.runFor(3s);
        REQUIRE(hasLeader());
        REQUIRE(pump.leader()->core->term() == term);
    }
}
