#pragma once

#include "base/Finding.h"
#include "raft/DiskOperation.h"

#include <cstdint>
#include <string>
#include <variant>

namespace bergamotweir::raft {

/** Names a request to the core in its answer. */
using RequestId = std::uint64_t;

/** Hand a message to the transport; it may be lost, doubled or late. */
struct SendMessage {
    /** IP:port. */
    std::string address;
    wire::RaftMessage message;
};

/** Apply a committed entry to the state machine. */
struct ApplyEntry {
    wire::LogEntry entry;
};

/** Replace the state machine by a snapshot. */
struct RestoreSnapshot {
    SnapshotPtr snapshot;
};

/** Serialise the state machine as it is now and call RaftCore::snapshotTaken(). */
struct TakeSnapshot {
    std::uint64_t index = 0;
};

/** This replica leads, and has applied everything committed before its term. */
struct BecameLeader {
    std::uint64_t term = 0;
};

/** This replica, told before that it leads, leads no more. */
struct LostLeadership {
    std::uint64_t term = 0;
};

/** Answer to RaftCore::confirm(). */
struct Confirmed {
    RequestId request = 0;
    bool leads = false;
};

/** How a membership change ended. */
enum class ChangeOutcome { Committed, Refused, Unknown };

/** Answer to RaftCore::changeMember(). */
struct MemberChanged {
    RequestId request = 0;
    ChangeOutcome outcome = ChangeOutcome::Refused;
    /** Place of the change in the log unless refused. */
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    Findings findings;
};

/** Answer to RaftCore::transferLeadership(): leadership is gone, or no voter took it in time. */
struct LeadershipTransferEnded {
};

/** One thing that the shell has to do, in the order given. */
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
