#include "RaftScenario.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace bergamotweir::tests;
using namespace std::chrono_literals;
using Change = wire::ChangeMember;

namespace {

constexpr std::chrono::milliseconds Patience{20000};

/** A protocol under way when a fault strikes. */
struct Protocol {
    const char *name;
    void (*begin)(RaftPump &pump);
    /** Voters that it takes away. */
    unsigned removes = 0;
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
             changed(pump, "d", Change::CHANGE_ADD);
         }},
        {"membership, promote",
         [](RaftPump &pump) {
             pump.start("d", true);
             pump.runUntil(
                 [&pump] {
                     return changed(pump, "d", Change::CHANGE_ADD);
                 },
                 Patience);
             pump.runFor(100ms);
             changed(pump, "d", Change::CHANGE_PROMOTE);
         }},
        {"membership, remove the leader",
         [](RaftPump &pump) {
             changed(pump, pump.leader()->id, Change::CHANGE_REMOVE);
         },
         1},
        {"hand-over",
         [](RaftPump &pump) {
             pump.askLeader([](raft::RaftCore &core, raft::RequestId) {
                 core.transferLeadership();
             });
         }},
    };
    return all;
}

void requireAllHeld(const RaftPump &pump)
{
    for (const std::string &violation : pump.checks.violations) {
        INFO(violation);
        REQUIRE(pump.checks.violations.empty());
    }
}

/** After all faults the group must commit, take every replica in again, and everybody must hold everything. */
void requireRecovery(RaftPump &pump)
{
    healAll(pump);
    const std::uint64_t before = pump.acknowledged;
    const bool finished = pump.runUntil(
        [&] {
            return repaired(pump) && pump.acknowledged > before + 3;
        },
        Patience);
    requireAllHeld(pump);
    REQUIRE(finished);
    pump.loaded = false;
    const bool same = pump.runUntil(
        [&] {
            return converged(pump);
        },
        Patience);
    requireAllHeld(pump);
    REQUIRE(same);
}

void requireStarted(RaftPump &pump)
{
    REQUIRE(pump.runUntil(
        [&] {
            return pump.leader() != nullptr && pump.acknowledged > 5;
        },
        Patience));
}

void runEvents(RaftPump &pump, std::uint64_t events)
{
    const std::uint64_t end = pump.steps + events;
    while (pump.steps < end) {
        pump.step();
    }
}

std::vector<std::string> group(unsigned size)
{
    const std::vector<std::string> ids{"a", "b", "c", "e", "f"};
    return {ids.begin(), ids.begin() + size};
}

/** A majority of the voters has to keep its disk, at any time. */
unsigned bearableDiskLosses(unsigned size, const Protocol &protocol)
{
    return (size - protocol.removes - 1) / 2;
}

std::string anyReplica(RaftPump &pump)
{
    return std::next(pump.replicas.begin(), pump.random(static_cast<std::uint32_t>(pump.replicas.size())))->first;
}

} // namespace

// A user would see two leaders, an acknowledged table or claim vanish, or control stand still after a single fault.
// Each protocol is begun, the fault strikes the leader or a follower at one of its steps, lasts a while and ends.
// What is checked after every event is listed in RaftChecks.h.
TEST_CASE("a single fault at any step of any protocol breaks nothing and is recovered from", "[raft]")
{
    std::uint64_t seed = 1;
    for (const Protocol &protocol : protocols()) {
        for (const Fault &fault : faults()) {
            for (const bool strikesLeader : {true, false}) {
                for (unsigned point = 0; point < 8; ++point) {
                    seed++;
                    INFO(protocol.name << ", " << fault.name << (strikesLeader ? " at the leader" : " at a follower")
                                       << ", seed " << seed);
                    RaftPump pump(seed, group(protocol.removes > 0 ? 5 : 3));
                    requireStarted(pump);
                    const std::string leader = pump.leader()->id;
                    const std::string other = follower(pump)->id;
                    protocol.begin(pump);
                    runEvents(pump, point * 40 + pump.random(40));
                    fault.strike(pump, strikesLeader ? leader : other);
                    pump.runFor(std::chrono::milliseconds(50 + pump.random(800)));
                    requireRecovery(pump);
                    REQUIRE(pump.confirmed > 0);
                }
            }
        }
    }
}

// A user would see the same when two faults meet: a replica freezes while another one loses its disk.
// Both begin at any step of a protocol and overlap. A group of three is claimed to bear one lost disk, five bear two.
TEST_CASE("any two faults together break nothing and are recovered from", "[raft]")
{
    for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
        const unsigned size = seed % 3 == 0 ? 5 : 3;
        RaftPump pump(seed, group(size));
        requireStarted(pump);
        const Protocol &protocol = protocols()[pump.random(static_cast<std::uint32_t>(protocols().size()))];
        unsigned losses = bearableDiskLosses(size, protocol);
        protocol.begin(pump);
        runEvents(pump, pump.random(300));
        std::string struck;
        for (int count = 0; count < 2; ++count) {
            const Fault &fault = faults()[pump.random(static_cast<std::uint32_t>(faults().size()))];
            const bool losesDisk = std::string(fault.name) == "lost disk";
            if (losesDisk && losses == 0) {
                continue;
            }
            losses -= losesDisk ? 1 : 0;
            struck += std::string(", ") + fault.name;
            fault.strike(pump, anyReplica(pump));
            runEvents(pump, pump.random(300));
        }
        INFO(protocol.name << struck << ", seed " << seed);
        pump.runFor(std::chrono::milliseconds(50 + pump.random(800)));
        requireRecovery(pump);
    }
}
