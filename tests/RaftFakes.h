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

/** How the disk of a replica handles a batch. */
enum class DiskMode { Works, Slow, Fails };

/** A disk that keeps only what was synced when its replica is killed. */
struct FakeDisk {
    raft::PersistentState durable;
    std::vector<raft::WriteDisk> pending;
    DiskMode mode = DiskMode::Works;
    bool syncing = false;
};

/** One replica: its core, disk, clock and state machine. The state is a hash over all applied entries. */
struct FakeReplica {
    std::string id;
    bool join = false;
    std::optional<raft::RaftCore> core;
    FakeDisk disk;
    /** Incremented at each start and kill; events of an earlier incarnation are dropped. */
    int incarnation = 0;
    bool frozen = false;
    /** Events that arrived while the process was frozen. */
    std::vector<std::function<void()>> deferredEvents;
    /** Rate of its clock in thousandths of real time. */
    int clockRatePermille = 1000;
    std::uint64_t appliedIndex = 0;
    std::string state;
};

/** Faults and latency of the network. */
struct FakeNetwork {
    std::set<std::pair<std::string, std::string>> blockedLinks;
    /** Share of lost messages in percent. */
    unsigned lossPercent = 0;
    unsigned duplicatePercent = 0;
    std::chrono::microseconds maxLatency{2000};
};

/** Applies an operation to the durable state; @p maxEntries limits the entries appended, to simulate a torn batch. */
void applyOperation(raft::PersistentState &durable,
                    const raft::DiskOperation &operation,
                    std::size_t maxEntries = SIZE_MAX);

/**
 * Drops the operations that were not synced.
 * @param torn if given, source of randomness for the part of them that reached the disk nevertheless
 */
void crash(FakeDisk &disk, pcg32 *torn);

/** @return the index of the last durable entry, or of the snapshot if there are no entries */
std::uint64_t lastIndexOf(const raft::PersistentState &durable);

/** @return the state of the state machine after an entry */
std::string stateAfter(const std::string &state, const wire::LogEntry &entry);

} // namespace bergamotweir::tests
