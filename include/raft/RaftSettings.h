#pragma once

#include "base/Result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace bergamotweir::raft {

/** Time-outs and bounds of the consensus core. Created by RaftSettingsBuilder. */
struct RaftSettings {
    /** A follower that has no contact with a leader for a random time between min and max starts an election. */
    std::chrono::milliseconds electionTimeoutMin{150};
    std::chrono::milliseconds electionTimeoutMax{300};
    std::chrono::milliseconds heartbeat{50};
    /** Maximum sum of entry sizes in one append message; a larger entry is sent in a message of its own. */
    std::size_t appendBytes = std::size_t{512} * 1024;
    /** Maximum snapshot bytes in one message. */
    std::size_t chunkBytes = std::size_t{512} * 1024;
    /** Maximum number of entries sent to a follower and not yet acknowledged by it. */
    std::uint64_t inFlightEntries = 4096;
    /** Maximum number of uncommitted entries; further proposals are refused. */
    std::uint64_t uncommittedEntries = 16384;
    /**
     * A snapshot is due once that many entries have been applied since the last one, or entries of that many bytes, or
     * entries that took that long: a replica holds the entries in memory, and applies them again when it starts.
     */
    std::uint64_t snapshotEntries = 8192;
    std::size_t snapshotBytes = std::size_t{8} * 1024 * 1024;
    std::chrono::milliseconds snapshotApplyTime{250};
    /**
     * Maximum number and sum of sizes of the entries up to the snapshot that stay in memory, so that a slightly lagging
     * follower needs no snapshot.
     */
    std::uint64_t trailingEntries = 1024;
    std::size_t trailingBytes = std::size_t{4} * 1024 * 1024;
    /** Maximum number of entries that a learner may lag behind the commit index when it is promoted. */
    std::uint64_t promotionLag = 16;
};

/** Collects the settings and validates them together. */
class RaftSettingsBuilder
{
public:
    RaftSettingsBuilder &electionTimeout(std::chrono::milliseconds min, std::chrono::milliseconds max);
    RaftSettingsBuilder &heartbeat(std::chrono::milliseconds value);
    RaftSettingsBuilder &messageBytes(std::size_t append, std::size_t chunk);
    RaftSettingsBuilder &snapshots(std::uint64_t everyEntries, std::uint64_t trailingEntries);
    RaftSettingsBuilder &snapshotBytes(std::size_t every, std::size_t trailing);
    RaftSettingsBuilder &snapshotApplyTime(std::chrono::milliseconds value);
    RaftSettingsBuilder &uncommittedEntries(std::uint64_t value);

    /** @return the settings, or every invalid one */
    Result<RaftSettings> build() const;

private:
    RaftSettings settings;
};

} // namespace bergamotweir::raft
