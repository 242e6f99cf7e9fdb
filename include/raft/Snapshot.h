#pragma once

#include "raft.pb.h"

#include <cstdint>
#include <memory>
#include <string>

namespace bergamotweir::raft {

/** The state machine and the membership at one index of the log. */
struct Snapshot {
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    wire::Membership membership;
    std::string data;
};

/** Shared between the core, the writer thread and snapshot transfers; immutable. */
using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace bergamotweir::raft
