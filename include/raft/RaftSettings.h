#pragma once

#include "base/Result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace bergamotweir::raft {

/** Times and bounds of the consensus core. Made by RaftSettingsBuilder. */
struct RaftSettings {
    /** A follower that hears no leader for a random time between these two starts an election. */
    std::chrono::milliseconds electionTimeoutMin{150};
    std::chrono::milliseconds electionTimeoutMax{300};
    std::chrono::milliseconds heartbeat{50};
    /** Largest sum of entry sizes in one append message; a single larger entry travels alone. */
    std::size_t appendBytes = std::size_t{512} * 1024;
    /** Largest piece of a snapshot in one message. */
    std::size_t chunkBytes = std::size_t{512} * 1024;
    /** Entries sent to a follower and not yet acknowledged by it. */
    std::uint64_t inFlightEntries = 4096;
    /** Entries proposed and not yet committed; more are refused. */
    std::uint64_t uncommittedEntries = 16384;
    /** Applied entries after which a snapshot is taken. */
    std::uint64_t snapshotEntries = 8192;
    /** Entries kept in memory behind a snapshot for followers that are only a little late. */
    std::uint64_t trailingEntries = 1024;
    /** How far behind the leader's commit a learner may be when it is promoted. */
    std::uint64_t promotionLag = 16;
};

/** Collects the settings and checks them together. */
class RaftSettingsBuilder
{
public:
    RaftSettingsBuilder &electionTimeout(std::chrono::milliseconds min, std::chrono::milliseconds max);
    RaftSettingsBuilder &heartbeat(std::chrono::milliseconds value);
    RaftSettingsBuilder &messageBytes(std::size_t append, std::size_t chunk);
    RaftSettingsBuilder &snapshots(std::uint64_t everyEntries, std::uint64_t trailingEntries);
    RaftSettingsBuilder &uncommittedEntries(std::uint64_t value);

    /** @return the settings, or every finding about them */
    Result<RaftSettings> build() const;

private:
    RaftSettings settings;
};

} // namespace bergamotweir::raft
