#pragma once

#include "base/BootClock.h"
#include "raft/Snapshot.h"

#include <cstdint>

namespace bergamotweir::raft {

/** A leader's replication state of one other replica. Owned by the leader's RaftCore. */
struct Progress {
    wire::Replica replica;
    /** Index of the next entry to send. */
    std::uint64_t nextIndex = 1;
    /** Index of the last entry that the replica is known to hold on disk. */
    std::uint64_t matchIndex = 0;
    /** Whether the last index at which both logs match is still unknown; no entries are sent until it is known. */
    bool isProbing = true;
    /** Whether a message is due even if there are no entries to send. */
    bool sendDue = true;
    BootTime lastSentAt;
    /** Time of the replica's last answer in this term. */
    BootTime lastAnswerAt;
    /** The latest confirmation round (ReadIndex) that the replica answered. */
    std::uint64_t answeredRound = 0;
    /** Snapshot that is being sent to the replica; null if there is none. */
    SnapshotPtr snapshot;
    std::uint64_t snapshotOffset = 0;
    BootTime chunkSentAt;
    bool chunkDue = false;
};

} // namespace bergamotweir::raft
