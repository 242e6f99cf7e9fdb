#pragma once

#include "raft/Snapshot.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bergamotweir::raft {

/** Names a batch of disk operations; batches are numbered upwards and synced in order. */
using Ticket = std::uint64_t;

/** Keeps the term and whom this replica voted for in it. */
struct SaveVote {
    std::uint64_t term = 0;
    std::string votedFor;
};

/** Adds entries behind the last one. */
struct AppendEntries {
    std::vector<wire::LogEntry> entries;
};

/** Drops the entry at an index and all behind it. */
struct TruncateFrom {
    std::uint64_t index = 0;
};

/** Keeps a snapshot; the entries it covers may go. */
struct SaveSnapshot {
    SnapshotPtr snapshot;
    /** Drops every entry: the log doesn't agree with the snapshot. */
    bool resetLog = false;
};

/** One change of what a replica keeps on disk. */
using DiskOperation = std::variant<SaveVote, AppendEntries, TruncateFrom, SaveSnapshot>;

/** Operations to carry out in order and to make durable with as few syncs as possible. */
struct WriteDisk {
    Ticket ticket = 0;
    std::vector<DiskOperation> operations;
};

/** What a replica finds on its disk at its start. */
struct PersistentState {
    std::string diskId;
    std::uint64_t term = 0;
    std::string votedFor;
    /** Null before the first snapshot. */
    SnapshotPtr snapshot;
    /** Contiguous, beginning right behind the snapshot. */
    std::vector<wire::LogEntry> entries;
};

} // namespace bergamotweir::raft
