#pragma once

#include "base/Result.h"
#include "disk/FileOperations.h"
#include "raft/DiskOperation.h"

#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>

namespace bergamotweir::disk {

/** What the writer did so far. */
struct StorageCounters {
    std::uint64_t syncs = 0;
    std::uint64_t entries = 0;
    std::chrono::nanoseconds syncTime{0};
    std::chrono::nanoseconds maxSyncTime{0};
};

/** Told on the writer's thread. */
struct StorageCallbacks {
    /** Everything up to this ticket is durable. */
    std::function<void(raft::Ticket)> synced;
    /** Nothing more will be made durable: disk full, sync failed. Told once. */
    std::function<void(const Findings &)> failed;
};

/**
 * A replica's data folder: log segments, the file of term, vote and disk id, and the snapshot.
 * All writing happens on one thread of its own; batches that wait while a sync runs share the next one.
 * Owned by ReplicaNode; the folder is locked while it lives.
 */
class Storage
{
public:
    /**
     * Opens or creates the folder.
     * @param folder data folder, created if need be
     * @param replicaId a folder of another replica is refused
     * @param files file calls, replaced by tests
     * @return the storage with its state loaded, or each thing found wrong with its file and offset
     */
    static Result<std::unique_ptr<Storage>> open(const std::filesystem::path &folder,
                                                 const std::string &replicaId,
                                                 FileOperations files = systemFileOperations());

    /** @return id of the replica that a data folder belongs to; empty for one that doesn't belong to any yet */
    static Result<std::string> replicaIdOf(const std::filesystem::path &folder);

    /** Finishes what was submitted, then ends the thread. */
    ~Storage();
    Storage(const Storage &) = delete;
    Storage &operator=(const Storage &) = delete;

    /** @return what was on disk at open(); given away once */
    raft::PersistentState takeState();

    /** Starts the writer. */
    void start(StorageCallbacks callbacks);

    /** Queues a batch. Tickets go upwards. */
    void submit(raft::WriteDisk batch);

    /** @return counters; any thread */
    StorageCounters counters() const;

private:
    struct Parts;
    explicit Storage(std::unique_ptr<Parts> parts);
    std::unique_ptr<Parts> parts;
};

} // namespace bergamotweir::disk
