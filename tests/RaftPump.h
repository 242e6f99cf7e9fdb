#pragma once

#include "RaftChecks.h"

#include <pcg_random.hpp>

namespace bergamotweir::tests {

/**
 * Drives cores with a network, disks and clocks that fail on demand, and checks after every event what must always
 * hold. The same seed gives the same run.
 */
class RaftPump
{
public:
    RaftPump(std::uint64_t seed, const std::vector<std::string> &ids);

    void start(const std::string &id, bool join = false);
    /** Whatever wasn't synced is lost, but for a part of it that happened to reach the disk (torn). */
    void kill(const std::string &id, bool torn = false);
    void freeze(const std::string &id);
    void thaw(const std::string &id);

    void step();
    /** @return false when the condition doesn't hold within the limit of virtual time */
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit);
    void runFor(std::chrono::milliseconds time);

    /** @return the replica that leads in the highest term; null when none does */
    FakeReplica *leader();
    FakeReplica &at(const std::string &id);
    /** Hands the leader a request; nothing happens while there is none. */
    void askLeader(const std::function<void(raft::RaftCore &, raft::RequestId)> &request);

    std::map<std::string, FakeReplica> replicas;
    FakeNetwork network;
    RaftChecks checks;
    std::uint64_t steps = 0;
    std::uint64_t confirmed = 0;
    std::uint64_t acknowledged = 0;
    std::uint64_t restored = 0;
    std::vector<raft::MemberChanged> changes;
    bool changePending = false;
    int handOversEnded = 0;
    /** Every leader gets a command and a confirmation to do at each of its ticks. */
    bool loaded = true;
    pcg32 random;

private:
    void schedule(FakeReplica &replica, std::chrono::microseconds delay, std::function<void()> event);
    void tick(FakeReplica &replica);
    void ask(FakeReplica &replica);
    void endTurn(FakeReplica &replica);
    void deliver(const raft::SendMessage &send);
    void startSync(FakeReplica &replica);
    std::chrono::microseconds upTo(std::chrono::microseconds most);
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
    /** Commands taken and not answered: (replica, index) to term. */
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> proposals;
    /** Confirmations asked for, with what had been acknowledged by then. */
    std::map<raft::RequestId, std::uint64_t> confirms;
    raft::RequestId lastRequest = 0;
    int disks = 0;
};

} // namespace bergamotweir::tests
