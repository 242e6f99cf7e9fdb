#pragma once

#include "raft/RaftCore.h"

#include <pcg_random.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bergamotweir::tests {

/** What a replica's disk does with a batch. */
enum class DiskMood { Works, Slow, Fails };

/** A disk that keeps what was synced when its replica is killed. */
struct FakeDisk {
    raft::PersistentState durable;
    std::vector<raft::WriteDisk> pending;
    DiskMood mood = DiskMood::Works;
    bool syncing = false;
};

/** One replica: its core, disk, clock and state machine, which is the hash over all it applied. */
struct FakeReplica {
    std::string id;
    bool join = false;
    std::optional<raft::RaftCore> core;
    FakeDisk disk;
    /** Counts its starts and ends: events of an earlier life are dropped. */
    int incarnation = 0;
    bool frozen = false;
    /** What its process will see when it goes on. */
    std::vector<std::function<void()>> backlog;
    /** Speed of its clock in thousandths. */
    int drift = 1000;
    std::uint64_t appliedIndex = 0;
    std::string state;
};

/** What the network does with messages. */
struct FakeNetwork {
    std::set<std::pair<std::string, std::string>> cuts;
    /** In percent of messages. */
    unsigned lost = 0;
    unsigned doubled = 0;
    std::chrono::microseconds slowest{2000};
};

/** Carries out an operation on what is durable; @p most limits the entries, to tear a batch. */
void carryOut(raft::PersistentState &durable, const raft::DiskOperation &operation, std::size_t most = SIZE_MAX);

/** Loses what wasn't synced. @param torn when given, a random part of it happened to reach the disk */
void crash(FakeDisk &disk, pcg32 *torn);

/** @return the newest entry that is durable, by entry or by snapshot */
std::uint64_t lastIndexOf(const raft::PersistentState &durable);

/** @return the state machine's state after an entry */
std::string stateAfter(const std::string &state, const wire::LogEntry &entry);

} // namespace bergamotweir::tests
