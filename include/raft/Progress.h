#pragma once

#include "base/BootClock.h"
#include "raft/Snapshot.h"

#include <cstdint>

namespace bergamotweir::raft {

/** What a leader knows about one other replica. Owned by the RaftCore that leads. */
struct Progress {
    wire::Replica replica;
    /** The next entry to send. */
    std::uint64_t next = 1;
    /** The newest entry that it surely holds on disk. */
    std::uint64_t match = 0;
    /** Where its log agrees with ours is not known yet: send no entries. */
    bool probing = true;
    /** A message is due whatever there is to send. */
    bool sendDue = true;
    BootTime lastSent;
    /** When it last answered in this term. */
    BootTime lastAnswer;
    /** The newest confirmation round that it answered. */
    std::uint64_t answeredRound = 0;
    /** Set while a snapshot is on its way to it. */
    SnapshotPtr snapshot;
    std::uint64_t snapshotOffset = 0;
    BootTime chunkSent;
    bool chunkDue = false;
};

} // namespace bergamotweir::raft
