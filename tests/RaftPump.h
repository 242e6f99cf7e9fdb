#pragma once

#include "RaftChecks.h"

#include <pcg_random.hpp>

namespace bergamotweir::tests {

/**
 * Deterministic simulation of a group of cores with fault injection into network, disks and clocks. Runs RaftChecks
 * after every event. The same seed gives the same run.
 */
class RaftPump
{
public:
    RaftPump(std::uint64_t seed, const std::vector<std::string> &ids);

    void start(const std::string &id, bool join = false);
    /** Kills a replica. Unsynced writes are lost; with @p torn, a random part of them reaches the disk. */
    void kill(const std::string &id, bool torn = false);
    void freeze(const std::string &id);
    void thaw(const std::string &id);

    void step();
    /** @return false if the condition did not become true within the limit of simulated time */
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit);
    void runFor(std::chrono::milliseconds time);

    /** @return the leader of the highest term; null if there is none */
    FakeReplica *leader();
    FakeReplica &at(const std::string &id);
    /** Passes a request to the leader; does nothing if there is none. */
    void callLeader(const std::function<void(raft::RaftCore &, raft::RequestId)> &request);

    std::map<std::string, FakeReplica> replicas;
    FakeNetwork network;
    RaftChecks checks;
    std::uint64_t steps = 0;
    std::uint64_t confirmed = 0;
    std::uint64_t acknowledged = 0;
    std::uint64_t restored = 0;
    std::vector<raft::MemberChanged> changes;
    bool changePending = false;
    int transfersEnded = 0;
    /** Whether each leader gets a command and a confirmation request at every tick. */
    bool isLoaded = true;
    pcg32 random;

private:
    void schedule(FakeReplica &replica, std::chrono::microseconds delay, std::function<void()> event);
    void tick(FakeReplica &replica);
    void proposeAndConfirm(FakeReplica &replica);
    void endTurn(FakeReplica &replica);
    void deliver(const raft::SendMessage &send);
    void startSync(FakeReplica &replica);
    std::chrono::microseconds randomUpTo(std::chrono::microseconds maxDelay);
    BootTime clockOf(const FakeReplica &replica) const;

    void perform(FakeReplica &replica, raft::WriteDisk &action);
    void perform(FakeReplica &replica, raft::SendMessage &action);
    void perform(FakeReplica &replica, raft::ApplyEntry &action);
    void perform(FakeReplica &replica, raft::RestoreSnapshot &action);
    void perform(FakeReplica &replica, raft::TakeSnapshot &action);
    void perform(FakeReplica &, raft::BecameLeader &)
    {
    }
    void perform(FakeReplica &replica, raft::LostLeadership &action);
    void perform(FakeReplica &replica, raft::Confirmed &action);
    void perform(FakeReplica &replica, raft::MemberChanged &action);
    void perform(FakeReplica &replica, raft::LeadershipTransferEnded &action);

    const std::uint64_t seed;
    raft::RaftSettings settings;
    wire::Membership initial;
    std::chrono::microseconds now{0};
    std::multimap<std::chrono::microseconds, std::function<void()>> events;
    /** Proposed commands that have not been applied yet: (replica, index) to term. */
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> proposals;
    /** Pending confirmation requests, with the index acknowledged when they were made. */
    std::map<raft::RequestId, std::uint64_t> confirms;
    raft::RequestId lastRequest = 0;
    int diskCount = 0;
};

} // namespace bergamotweir::tests
