#include "RaftScenario.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace bergamotweir::tests;
using namespace std::chrono_literals;
using Change = wire::ChangeMember;

namespace {

constexpr std::chrono::milliseconds MaxWait{20000};

bool commitsMore(RaftPump &pump, std::uint64_t more)
{
    const std::uint64_t before = pump.acknowledged;
    return pump.runUntil(
        [&] {
            return pump.acknowledged > before + more;
        },
        MaxWait);
}

void waitForChange(RaftPump &pump, const std::string &id, Change::Change change)
{
    REQUIRE(pump.runUntil(
        [&] {
            return ensureChange(pump, id, change);
        },
        MaxWait));
}

std::string lastRefusal(const RaftPump &pump)
{
    return pump.changes.empty() ? std::string() : toText(pump.changes.back().findings);
}

} // namespace

// Guards against the loss of acknowledged entries when a second VM is lost right after the first was replaced: d must
// not count as a voter before it holds the log.
// Order: one follower is lost, d is added and promoted, the lost one is removed, then the leader is lost as well.
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
        waitForChange(pump, "d", Change::CHANGE_ADD);
        waitForChange(pump, "d", Change::CHANGE_PROMOTE);
        waitForChange(pump, lost, Change::CHANGE_REMOVE);
        pump.kill(pump.leader()->id);
        const std::uint64_t before = pump.acknowledged;
        REQUIRE(commitsMore(pump, 5));
        REQUIRE(pump.leader()->appliedIndex > before);
        REQUIRE(pump.checks.violations.empty());
    }
}

// Guards against the loss of an acknowledged entry: b is partitioned while a and c commit, c restarts with an empty
// disk, and a is lost. b and the new c are two of three, but the acknowledged entries were on the disks of a and the
// old c only.
TEST_CASE("a replica that lost its disk does not vote under its old identity", "[raft]")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        RaftPump pump(seed, {"a", "b", "c"});
        REQUIRE(commitsMore(pump, 5));
        const std::string leader = pump.leader()->id;
        const std::string late = follower(pump)->id;
        for (const auto &[id, replica] : pump.replicas) {
            pump.network.blockedLinks.insert({id, late});
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
        pump.network.blockedLinks.clear();
        pump.runFor(5s);
        REQUIRE(pump.leader() == nullptr);
        pump.start(leader);
        REQUIRE(commitsMore(pump, 5));
        REQUIRE(pump.checks.violations.empty());
    }
}

// Guards against the same fault during the first election, when no disk ids are known yet: nothing is acknowledged
// before the disk ids of all three replicas are recorded, so two empty disks cannot form a second group.
TEST_CASE("the first group needs all replicas, and replicas whose disks are lost form no second one", "[raft]")
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
            MaxWait));
        const std::uint64_t acknowledged = pump.acknowledged;
        // Both followers of the first leader lose their disks, and then the leader is killed.
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

// Guards against promoting a learner that lags: the loss of one more replica could then lose acknowledged entries.
TEST_CASE("a learner is promoted only after it has caught up", "[raft]")
{
    RaftPump pump(7, {"a", "b", "c"});
    REQUIRE(commitsMore(pump, 60));
    pump.start("d", true);
    waitForChange(pump, "d", Change::CHANGE_ADD);
    pump.runFor(200ms);
    for (const char *id : {"a", "b", "c"}) {
        pump.network.blockedLinks.insert({id, "d"});
    }
    REQUIRE(commitsMore(pump, 40));
    ensureChange(pump, "d", Change::CHANGE_PROMOTE);
    REQUIRE(lastRefusal(pump).find("not caught up") != std::string::npos);
    REQUIRE_FALSE(ensureChange(pump, "d", Change::CHANGE_PROMOTE));
    pump.network.blockedLinks.clear();
    waitForChange(pump, "d", Change::CHANGE_PROMOTE);
    REQUIRE(pump.checks.violations.empty());
}

// Guards against two concurrent membership changes: with both in the log, two quorums might not overlap.
TEST_CASE("a second membership change is refused while the first is in progress", "[raft]")
{
    RaftPump pump(8, {"a", "b", "c", "e", "f"});
    REQUIRE(commitsMore(pump, 5));
    wire::ChangeMember removal;
    removal.set_change(Change::CHANGE_REMOVE);
    pump.callLeader([&](raft::RaftCore &core, raft::RequestId request) {
        removal.mutable_replica()->set_id("a");
        core.changeMember(request, removal);
        removal.mutable_replica()->set_id("b");
        core.changeMember(request + 1000, removal);
    });
    REQUIRE(pump.changes.size() == 1);
    REQUIRE(lastRefusal(pump).find("in progress") != std::string::npos);
}

// Guards against removing a working replica while another one is down: the group could no longer commit.
TEST_CASE("a removal that would cost the quorum is refused", "[raft]")
{
    RaftPump pump(9, {"a", "b", "c"});
    REQUIRE(commitsMore(pump, 5));
    pump.kill(follower(pump)->id);
    pump.runFor(500ms);
    ensureChange(pump, follower(pump)->id, Change::CHANGE_REMOVE);
    REQUIRE(lastRefusal(pump).find("too few") != std::string::npos);
    REQUIRE(commitsMore(pump, 5));
}

// Guards against a needless interruption: a replica returns from a long partition and its higher term deposes a working
// leader.
TEST_CASE("a replica that returns from a partition does not depose the leader", "[raft]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        RaftPump pump(seed, {"a", "b", "c"});
        REQUIRE(commitsMore(pump, 5));
        const std::string leader = pump.leader()->id;
        const std::uint64_t term = pump.leader()->core->term();
        const std::string away = follower(pump)->id;
        for (const auto &[id, replica] : pump.replicas) {
            pump.network.blockedLinks.insert({id, away});
            pump.network.blockedLinks.insert({away, id});
        }
        // Without load its log is up to date, so only the contact of the others with the leader prevents the election.
        pump.isLoaded = seed % 2 == 0;
        pump.runFor(3s);
        pump.network.blockedLinks.clear();
        pump.runFor(2s);
        REQUIRE(pump.leader()->id == leader);
        REQUIRE(pump.leader()->core->term() == term);
    }
}

// Guards against a partitioned leader that confirms its leadership or stays leader.
TEST_CASE("a leader without a quorum confirms nothing and steps down", "[raft]")
{
    RaftPump pump(11, {"a", "b", "c"});
    REQUIRE(commitsMore(pump, 5));
    FakeReplica &old = *pump.leader();
    for (const auto &[id, replica] : pump.replicas) {
        pump.network.blockedLinks.insert({id, old.id});
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

// Guards against a long interruption at a planned stop of the leader: callers should wait less than an election
// time-out.
TEST_CASE("a leadership transfer takes less than an election timeout", "[raft]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        RaftPump pump(seed, {"a", "b", "c"});
        REQUIRE(commitsMore(pump, 5));
        const std::string old = pump.leader()->id;
        pump.callLeader([](raft::RaftCore &core, raft::RequestId) {
            core.transferLeadership();
        });
        REQUIRE(pump.runUntil(
            [&] {
                return pump.leader() != nullptr && pump.leader()->id != old;
            },
            100ms));
        REQUIRE(pump.transfersEnded == 1);
        REQUIRE(pump.checks.violations.empty());
    }
}

// Guards against a snapshot corrupted during the transfer (in the memory of a VM, not by the network): the replica
// would install a state that no replica had.
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
