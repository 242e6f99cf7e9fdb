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

/** Counters of the storage since open(). */
struct StorageCounters {
    std::uint64_t syncs = 0;
    std::uint64_t entries = 0;
    std::chrono::nanoseconds syncTime{0};
    std::chrono::nanoseconds maxSyncTime{0};
};

/** Callbacks of the storage; called on the writer thread. */
struct StorageCallbacks {
    /** Called when every batch up to and including this ticket is durable. */
    std::function<void(raft::Ticket)> synced;
    /** Called at most once, when writing failed (disk full, sync failed): no later batch becomes durable. */
    std::function<void(const Findings &)> failed;
};

/**
 * The data folder of a replica: log segments, the metadata file (term, vote, disk id) and the snapshot.
 * A dedicated thread does all writing; batches queued during a sync share the next one.
 * Owned by ReplicaNode; the folder stays locked for the lifetime of the object.
 */
class Storage
{
public:
    /**
     * Opens the data folder and loads its state.
     * @param folder data folder, created if it does not exist
     * @param replicaId id of this replica; the folder of another replica is refused
     * @param files file system calls, replaced by tests
     * @return the storage with its state loaded, or the errors found, each with its file and offset
     */
    static Result<std::unique_ptr<Storage>> open(const std::filesystem::path &folder,
                                                 const std::string &replicaId,
                                                 FileOperations files = systemFileOperations());

    /** @return the id of the replica that owns a data folder; empty if the folder has no metadata file yet */
    static Result<std::string> replicaIdOf(const std::filesystem::path &folder);

    /** Writes the submitted batches, then joins the writer thread. */
    ~Storage();
    Storage(const Storage &) = delete;
    Storage &operator=(const Storage &) = delete;

    /** @return the state that was on disk at open(); moved out, so it can be taken only once */
    raft::PersistentState takeState();

    /** Starts the writer thread. */
    void start(StorageCallbacks callbacks);

    /** Queues a batch for writing. Tickets must increase from batch to batch. */
    void submit(raft::WriteDisk batch);

    /** @return the counters; can be called from any thread */
    StorageCounters counters() const;

private:
    struct Parts;
    explicit Storage(std::unique_ptr<Parts> parts);
    std::unique_ptr<Parts> parts;
};

} // namespace bergamotweir::disk
