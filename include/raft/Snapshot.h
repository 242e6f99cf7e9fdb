#pragma once

#include "raft.pb.h"

#include <cstdint>
#include <memory>
#include <string>

namespace bergamotweir::raft {

/** The whole state machine at one place of the log, and the membership there. */
struct Snapshot {
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;
    wire::Membership membership;
    std::string data;
};

/** Shared between the core, the disk writer and transfers; never changed once made. */
using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace bergamotweir::raft
