#include "RaftScenario.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace bergamotweir::tests;
using namespace std::chrono_literals;
using Change = wire::ChangeMember;

namespace {

constexpr std::chrono::milliseconds Patience{20000};

bool commitsMore(RaftPump &pump, std::uint64_t more)
{
    const std::uint64_t before = pump.acknowledged;
    return pump.runUntil(
        [&] {
            return pump.acknowledged > before + more;
        },
        Patience);
}

void waitChange(RaftPump &pump, const std::string &id, Change::Change change)
{
    REQUIRE(pump.runUntil(
        [&] {
            return changed(pump, id, change);
        },
        Patience));
}

std::string lastRefusal(const RaftPump &pump)
{
    return pump.changes.empty() ? std::string() : toText(pump.changes.back().findings);
}

} // namespace

// An operator replaces a lost VM, and right after that a second one is lost: everything acknowledged must be there.
// Order: c is lost, d is added and promoted, c is removed, then the leader is lost as well.
// Cause when it breaks: d counted as a voter before it held the log.
TEST_CASE("a second VM can be lost right after a repair", "[raft]")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        RaftPump pump(seed, {"a", "b", "c"});
        REQUIRE(commitsMore(pump, 60));
        pump.kill(follower(pump)->id);
        std::string lost;
        for (const auto &[id, replica] : pump.replicas) {
            lost = replica.core ? lost : id;
        }
        pump.start("d", true);
        waitChange(pump, "d", Change::CHANGE_ADD);
        waitChange(pump, "d", Change::CHANGE_PROMOTE);
        waitChange(pump, lost, Change::CHANGE_REMOVE);
        pump.kill(pump.leader()->id);
        const std::uint64_t before = pump.acknowledged;
        REQUIRE(commitsMore(pump, 5));
        REQUIRE(pump.leader()->appliedIndex > before);
        REQUIRE(pump.checks.violations.empty());
    }
}

// An operator would see an acknowledged change vanish. b is cut off while a and c commit; c's VM comes back with an
// empty disk; a is lost. b and the new c are two of three, but only the old c's disk held what was acknowledged.
TEST_CASE("a replica that lost its disk doesn't vote as its old self", "[raft]")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        RaftPump pump(seed, {"a", "b", "c"});
        REQUIRE(commitsMore(pump, 5));
        const std::string leader = pump.leader()->id;
        const std::string late = follower(pump)->id;
        for (const auto &[id, replica] : pump.replicas) {
            pump.network.cuts.insert({id, late});
        }
        REQUIRE(commitsMore(pump, 20));
        for (auto &[id, replica] : pump.replicas) {
            if (id != late && id != leader) {
                pump.kill(id);
                replica.disk = FakeDisk();
                pump.start(id);
            }
        }
        pump.kill(leader);
        pump.network.cuts.clear();
        pump.runFor(5s);
        REQUIRE(pump.leader() == nullptr);
        pump.start(leader);
        REQUIRE(commitsMore(pump, 5));
        REQUIRE(pump.checks.violations.empty());
    }
}

// The same during the very first election, when no disk id is known yet: a acknowledges nothing before all three are
// bound, so that two empty disks can't form a second group beside it.
TEST_CASE("the first group is formed by all replicas, and a disk lost then forms no second one", "[raft]")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        RaftPump pump(seed, {"a", "b", "c"});
        pump.kill("c");
        pump.runFor(3s);
        REQUIRE(pump.leader() == nullptr);
        pump.start("c");
        REQUIRE(pump.runUntil(
            [&] {
                const raft::Role role = pump.at("a").core->role();
                return role == raft::Role::Leader || pump.leader() != nullptr;
            },
            Patience));
        const std::uint64_t acknowledged = pump.acknowledged;
        // Whoever leads first has its two followers' disks emptied while it's away.
        const std::string first = pump.at("a").core->role() == raft::Role::Leader ? "a" : pump.leader()->id;
        for (const std::string id : {"a", "b", "c"}) {
            if (id != first) {
                pump.kill(id);
                pump.at(id).disk = FakeDisk();
                pump.start(id);
            }
        }
        pump.kill(first);
        pump.runFor(3s);
        REQUIRE(pump.acknowledged == acknowledged);
        REQUIRE(pump.leader() == nullptr);
        REQUIRE(pump.checks.violations.empty());
    }
}

// An operator promotes a learner that is still empty; one more loss would then take acknowledged entries with it.
TEST_CASE("a learner is promoted only when it has caught up", "[raft]")
{
    RaftPump pump(7, {"a", "b", "c"});
    REQUIRE(commitsMore(pump, 60));
    pump.start("d", true);
    waitChange(pump, "d", Change::CHANGE_ADD);
    pump.runFor(200ms);
    for (const char *id : {"a", "b", "c"}) {
        pump.network.cuts.insert({id, "d"});
    }
    REQUIRE(commitsMore(pump, 40));
    changed(pump, "d", Change::CHANGE_PROMOTE);
    REQUIRE(lastRefusal(pump).find("not caught up") != std::string::npos);
    REQUIRE_FALSE(changed(pump, "d", Change::CHANGE_PROMOTE));
    pump.network.cuts.clear();
    waitChange(pump, "d", Change::CHANGE_PROMOTE);
    REQUIRE(pump.checks.violations.empty());
}

// Two operators change the membership at once. Both changes in the log could give two quorums that don't meet.
TEST_CASE("a second membership change waits for the first", "[raft]")
{
    RaftPump pump(8, {"a", "b", "c", "e", "f"});
    REQUIRE(commitsMore(pump, 5));
    wire::ChangeMember removal;
    removal.set_change(Change::CHANGE_REMOVE);
    pump.askLeader([&](raft::RaftCore &core, raft::RequestId request) {
        removal.mutable_replica()->set_id("a");
        core.changeMember(request, removal);
        removal.mutable_replica()->set_id("b");
        core.changeMember(request + 1000, removal);
    });
    REQUIRE(pump.changes.size() == 1);
    REQUIRE(lastRefusal(pump).find("in progress") != std::string::npos);
}

// An operator removes a working replica while another one is down: the group would stop.
TEST_CASE("a removal that would cost the quorum is refused", "[raft]")
{
    RaftPump pump(9, {"a", "b", "c"});
    REQUIRE(commitsMore(pump, 5));
    pump.kill(follower(pump)->id);
    pump.runFor(500ms);
    changed(pump, follower(pump)->id, Change::CHANGE_REMOVE);
    REQUIRE(lastRefusal(pump).find("too few") != std::string::npos);
    REQUIRE(commitsMore(pump, 5));
}

// A user would see a pause without a fault: a replica comes back from a long cut, and its higher term unseats a leader
// that works.
TEST_CASE("a replica that comes back from a cut doesn't unseat the leader", "[raft]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        RaftPump pump(seed, {"a", "b", "c"});
        REQUIRE(commitsMore(pump, 5));
        const std::string leader = pump.leader()->id;
        const std::uint64_t term = pump.leader()->core->term();
        const std::string away = follower(pump)->id;
        for (const auto &[id, replica] : pump.replicas) {
            pump.network.cuts.insert({id, away});
            pump.network.cuts.insert({away, id});
        }
        // Without load its log is as good as any, so that only the living leader speaks against it.
        pump.loaded = seed % 2 == 0;
        pump.runFor(3s);
        pump.network.cuts.clear();
        pump.runFor(2s);
        REQUIRE(pump.leader()->id == leader);
        REQUIRE(pump.leader()->core->term() == term);
    }
}

// An operator asks a leader on the far side of a silent partition: it must neither confirm itself nor go on leading.
TEST_CASE("a leader without its quorum steps down and confirms nothing", "[raft]")
{
    RaftPump pump(11, {"a", "b", "c"});
    REQUIRE(commitsMore(pump, 5));
    FakeReplica &old = *pump.leader();
    for (const auto &[id, replica] : pump.replicas) {
        pump.network.cuts.insert({id, old.id});
    }
    pump.runFor(20ms);
    const std::uint64_t confirmed = pump.confirmed;
    const std::uint64_t acknowledged = pump.acknowledged;
    pump.runFor(100ms);
    REQUIRE(old.core->isLeader());
    REQUIRE(pump.confirmed == confirmed);
    REQUIRE(pump.acknowledged == acknowledged);
    pump.runFor(400ms);
    REQUIRE_FALSE(old.core->isLeader());
}

// A planned stop of the leader: callers should wait for less than an election timeout.
TEST_CASE("handing over takes less than an election timeout", "[raft]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        RaftPump pump(seed, {"a", "b", "c"});
        REQUIRE(commitsMore(pump, 5));
        const std::string old = pump.leader()->id;
        pump.askLeader([](raft::RaftCore &core, raft::RequestId) {
            core.transferLeadership();
        });
        REQUIRE(pump.runUntil(
            [&] {
                return pump.leader() != nullptr && pump.leader()->id != old;
            },
            100ms));
        REQUIRE(pump.handOversEnded == 1);
        REQUIRE(pump.checks.violations.empty());
    }
}

// A snapshot is changed on its way (memory of a VM, not the network): the replica would hold a state nobody had.
TEST_CASE("a snapshot whose checksum differs is not installed", "[raft]")
{
    raft::PersistentState empty;
    empty.diskId = "disk";
    const raft::Self self{"d", "d", {}, true};
    raft::RaftCore core(self, {}, empty, 1, BootTime(1h));
    wire::RaftMessage message;
    message.set_from("a");
    message.set_from_address("a");
    message.set_to("d");
    message.set_to_disk("disk");
    message.set_term(3);
    wire::SnapshotChunk *chunk = message.mutable_snapshot_chunk();
    chunk->set_last_index(9);
    chunk->set_last_term(3);
    chunk->set_data("state");
    chunk->set_done(true);
    chunk->set_checksum(1);
    core.receive(message, BootTime(1h));
    REQUIRE(core.commitIndex() == 0);
    for (const raft::Action &action : core.takeActions()) {
        REQUIRE_FALSE(std::holds_alternative<raft::RestoreSnapshot>(action));
    }
}
