#pragma once

#include "base/Finding.h"
#include "raft/DiskOperation.h"

#include <cstdint>
#include <string>
#include <variant>

namespace bergamotweir::raft {

/** Identifies a request to the core; the answer carries the same id. */
using RequestId = std::uint64_t;

/** Pass a message to the transport, which may lose, duplicate, delay or reorder it. */
struct SendMessage {
    /** Destination as IP:port. */
    std::string address;
    wire::RaftMessage message;
};

/** Apply a committed entry to the state machine. */
struct ApplyEntry {
    wire::LogEntry entry;
};

/** Replace the state of the state machine by a snapshot. */
struct RestoreSnapshot {
    SnapshotPtr snapshot;
};

/** Serialise the current state of the state machine and call RaftCore::snapshotTaken(). */
struct TakeSnapshot {
    std::uint64_t index = 0;
};

/** This replica is the leader and has applied every entry committed before its term. */
struct BecameLeader {
    std::uint64_t term = 0;
};

/** This replica is no longer the leader. Emitted only after BecameLeader. */
struct LostLeadership {
    std::uint64_t term = 0;
};

/** Answer to RaftCore::confirm(): whether a quorum confirmed that this replica is still the leader. */
struct Confirmed {
    RequestId request = 0;
    bool leads = false;
};

/** Outcome of a membership change. Unknown: leadership was lost before the logged change was committed. */
enum class ChangeOutcome { Committed, Refused, Unknown };

/** Answer to RaftCore::changeMember(). */
struct MemberChanged {
    RequestId request = 0;
    ChangeOutcome outcome = ChangeOutcome::Refused;
    /** Term and index of the log entry that holds the change; valid unless the change was refused. */
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    Findings findings;
};

/** Answer to RaftCore::transferLeadership(): leadership was transferred, or the transfer timed out. */
struct LeadershipTransferEnded {
};

/** One action for the caller of RaftCore to carry out; actions are carried out in the order given. */
using Action = std::variant<WriteDisk,
                            SendMessage,
                            ApplyEntry,
                            RestoreSnapshot,
                            TakeSnapshot,
                            BecameLeader,
                            LostLeadership,
                            Confirmed,
                            MemberChanged,
                            LeadershipTransferEnded>;

} // namespace bergamotweir::raft
