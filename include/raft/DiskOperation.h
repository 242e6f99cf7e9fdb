#pragma once

#include "raft/Snapshot.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bergamotweir::raft {

/** Number of a batch of disk operations. Tickets increase, and batches are synced in their order. */
using Ticket = std::uint64_t;

/** Persists the current term and the candidate that received this replica's vote in it. */
struct SaveVote {
    std::uint64_t term = 0;
    std::string votedFor;
};

/** Appends entries to the end of the log. */
struct AppendEntries {
    std::vector<wire::LogEntry> entries;
};

/** Removes the entry at an index and all later entries. */
struct TruncateFrom {
    std::uint64_t index = 0;
};

/** Persists a snapshot; the entries that it covers can be removed. */
struct SaveSnapshot {
    SnapshotPtr snapshot;
    /** Whether to remove every entry, because the log conflicts with the snapshot. */
    bool resetLog = false;
};

/** One change to the durable state of a replica. */
using DiskOperation = std::variant<SaveVote, AppendEntries, TruncateFrom, SaveSnapshot>;

/** A batch of operations to execute in order and to make durable with as few syncs as possible. */
struct WriteDisk {
    Ticket ticket = 0;
    std::vector<DiskOperation> operations;
};

/** Durable state of a replica, loaded at its start. */
struct PersistentState {
    std::string diskId;
    std::uint64_t term = 0;
    std::string votedFor;
    /** Null before the first snapshot. */
    SnapshotPtr snapshot;
    /** Contiguous; the first entry directly follows the snapshot. */
    std::vector<wire::LogEntry> entries;
};

} // namespace bergamotweir::raft
