#include "disk/Storage.h"

#include "disk/ChecksummedFile.h"
#include "disk/LogFiles.h"

#include <algorithm>
#include <cerrno>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <mutex>
#include <optional>
#include <random>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace bergamotweir::disk {

namespace {

const char *const MetaName = "meta";
const char *const SnapshotName = "snapshot";
const char *const LockName = "lock";
constexpr int FileMode = 0600;

std::string newDiskId()
{
    std::random_device device;
    std::string id;
    for (int part = 0; part < 4; ++part) {
        char hex[16];
        std::snprintf(hex, sizeof(hex), "%08x", device());
        id += hex;
    }
    return id;
}

/**
 * Locks the folder, so that two processes cannot act as the same replica.
 * @return the descriptor of the lock
 */
Result<int> lockFolder(const std::filesystem::path &folder)
{
    const std::string path = (folder / LockName).string();
    const int descriptor = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FileMode);
    if (descriptor < 0) {
        return ioFinding(path, 0, "opening", errno);
    }
    if (flock(descriptor, LOCK_EX | LOCK_NB) != 0) {
        close(descriptor);
        return oneFinding(path, "another process uses this data folder");
    }
    return descriptor;
}

/**
 * Reconciles the log with the snapshot. A crash between saving an installed snapshot and removing the log that it
 * replaced leaves entries that end before the snapshot or conflict with it at its index: they are removed. A gap
 * between the snapshot and the log is an error.
 */
Findings reconcileLog(LogFiles &log, const raft::Snapshot &snapshot, std::vector<wire::LogEntry> &entries)
{
    if (entries.empty()) {
        return {};
    }
    const std::uint64_t first = entries.front().index();
    if (first > snapshot.lastIndex + 1) {
        return oneFinding("log",
                          "begins at " + std::to_string(first) + ", behind the snapshot's end: entries are missing");
    }
    const bool holdsSnapshotIndex = first <= snapshot.lastIndex && entries.back().index() >= snapshot.lastIndex;
    const bool agrees = first == snapshot.lastIndex + 1
                        || (holdsSnapshotIndex && entries[snapshot.lastIndex - first].term() == snapshot.lastTerm);
    if (!agrees) {
        entries.clear();
        return log.reset();
    }
    const auto covered = static_cast<std::ptrdiff_t>(snapshot.lastIndex + 1 - first);
    entries.erase(entries.begin(), entries.begin() + covered);
    return {};
}

} // namespace

struct Storage::Parts {
    Parts(std::filesystem::path folder, FileOperations operations)
        : folder(std::move(folder))
        , files(std::move(operations))
        , log(this->folder, this->files)
    {
    }

    Findings loadMeta(const std::string &replicaId);
    Findings loadSnapshot();
    Findings loadLog();
    Findings saveMeta();
    Findings saveSnapshot(const raft::SaveSnapshot &save);
    Findings execute(std::deque<raft::WriteDisk> &batches);
    Findings flush();
    void countSyncs();
    void run();

    const std::filesystem::path folder;
    FileOperations files;
    LogFiles log;
    int lock = -1;
    wire::DiskMeta meta;
    raft::PersistentState state;
    StorageCallbacks callbacks;
    std::vector<wire::LogEntry> pendingEntries;

    mutable std::mutex mutex;
    std::condition_variable queueChanged;
    std::deque<raft::WriteDisk> queue;
    StorageCounters counters;
    bool isStopping = false;
    std::thread writer;
};

Findings Storage::Parts::loadMeta(const std::string &replicaId)
{
    if (!std::filesystem::exists(this->folder / MetaName)) {
        for (const auto &file : std::filesystem::directory_iterator(this->folder)) {
            const std::string name = file.path().filename().string();
            if (name != LockName && name != std::string(MetaName) + ".new") {
                return oneFinding(file.path().string(), "is there without its meta file", "replace this replica");
            }
        }
        this->meta.set_replica_id(replicaId);
        this->meta.set_disk_id(newDiskId());
        return this->saveMeta();
    }
    const Result<std::string> content = readChecksummedFile(this->folder / MetaName);
    if (!content) {
        return content.error();
    }
    this->meta.ParseFromString(content.value());
    if (this->meta.replica_id() != replicaId) {
        return oneFinding((this->folder / MetaName).string(), "belongs to replica " + this->meta.replica_id());
    }
    return {};
}

Findings Storage::Parts::loadSnapshot()
{
    if (!std::filesystem::exists(this->folder / SnapshotName)) {
        return {};
    }
    const Result<std::string> content = readChecksummedFile(this->folder / SnapshotName);
    if (!content) {
        return content.error();
    }
    wire::DiskSnapshot stored;
    stored.ParseFromString(content.value());
    auto loaded = std::make_shared<raft::Snapshot>();
    loaded->lastIndex = stored.last_index();
    loaded->lastTerm = stored.last_term();
    loaded->membership = stored.membership();
    loaded->data = std::move(*stored.mutable_data());
    this->state.snapshot = std::move(loaded);
    return {};
}

Findings Storage::Parts::loadLog()
{
    Result<std::vector<wire::LogEntry>> loaded = this->log.load();
    if (!loaded) {
        return loaded.error();
    }
    this->state.entries = std::move(loaded.value());
    const std::vector<wire::LogEntry> &entries = this->state.entries;
    if (!entries.empty() && entries.back().term() > this->meta.term()) {
        return oneFinding(
            (this->folder / MetaName).string(), "is older than the log: votes are missing", "replace this replica");
    }
    if (this->state.snapshot) {
        return reconcileLog(this->log, *this->state.snapshot, this->state.entries);
    }
    if (!entries.empty() && entries.front().index() != 1) {
        return oneFinding(
            this->folder.string(), "the log's beginning is missing and there is no snapshot", "replace this replica");
    }
    return {};
}

Findings Storage::Parts::saveMeta()
{
    return writeChecksummedFile(this->files, this->folder / MetaName, this->meta.SerializeAsString());
}

Findings Storage::Parts::saveSnapshot(const raft::SaveSnapshot &save)
{
    wire::DiskSnapshot stored;
    stored.set_last_index(save.snapshot->lastIndex);
    stored.set_last_term(save.snapshot->lastTerm);
    *stored.mutable_membership() = save.snapshot->membership;
    stored.set_data(save.snapshot->data);
    Findings found = writeChecksummedFile(this->files, this->folder / SnapshotName, stored.SerializeAsString());
    if (!found.empty()) {
        return found;
    }
    return save.resetLog ? this->log.reset() : this->log.dropThrough(save.snapshot->lastIndex);
}

Findings Storage::Parts::flush()
{
    const std::vector<wire::LogEntry> entries = std::exchange(this->pendingEntries, {});
    return this->log.append(entries);
}

Findings Storage::Parts::execute(std::deque<raft::WriteDisk> &batches)
{
    Findings found;
    for (raft::WriteDisk &batch : batches) {
        for (raft::DiskOperation &operation : batch.operations) {
            if (auto *append = std::get_if<raft::AppendEntries>(&operation)) {
                std::move(append->entries.begin(), append->entries.end(), std::back_inserter(this->pendingEntries));
                continue;
            }
            found = this->flush();
            if (!found.empty()) {
                return found;
            }
            if (const auto *save = std::get_if<raft::SaveVote>(&operation)) {
                this->meta.set_term(save->term);
                this->meta.set_voted_for(save->votedFor);
                found = this->saveMeta();
            } else if (const auto *cut = std::get_if<raft::TruncateFrom>(&operation)) {
                found = this->log.truncateFrom(cut->index);
            } else {
                found = this->saveSnapshot(std::get<raft::SaveSnapshot>(operation));
            }
            if (!found.empty()) {
                return found;
            }
        }
    }
    return this->flush();
}

/** Wraps the sync call to count and time every sync. */
void Storage::Parts::countSyncs()
{
    this->files.sync = [this, sync = std::move(this->files.sync)](int descriptor) {
        const auto begin = std::chrono::steady_clock::now();
        const int error = sync(descriptor);
        const std::chrono::nanoseconds took = std::chrono::steady_clock::now() - begin;
        const std::lock_guard guard(this->mutex);
        this->counters.syncs++;
        this->counters.syncTime += took;
        this->counters.maxSyncTime = std::max(this->counters.maxSyncTime, took);
        return error;
    };
}

void Storage::Parts::run()
{
    while (true) {
        std::deque<raft::WriteDisk> batches;
        {
            std::unique_lock guard(this->mutex);
            this->queueChanged.wait(guard, [this] {
                return this->isStopping || !this->queue.empty();
            });
            if (this->queue.empty()) {
                return;
            }
            batches.swap(this->queue);
        }
        const raft::Ticket ticket = batches.back().ticket;
        const Findings found = this->execute(batches);
        if (!found.empty()) {
            this->callbacks.failed(found);
            return;
        }
        this->callbacks.synced(ticket);
    }
}

Result<std::unique_ptr<Storage>>
Storage::open(const std::filesystem::path &folder, const std::string &replicaId, FileOperations files)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error) {
        return ioFinding(folder, 0, "creating the folder", error.value());
    }
    const int synced = files.syncFolder(std::filesystem::absolute(folder).parent_path().string());
    if (synced != 0) {
        return ioFinding(folder, 0, "syncing the parent folder", synced);
    }
    const Result<int> lock = lockFolder(folder);
    if (!lock) {
        return lock.error();
    }
    auto parts = std::make_unique<Parts>(folder, std::move(files));
    parts->lock = lock.value();
    parts->countSyncs();
    std::unique_ptr<Storage> storage(new Storage(std::move(parts)));
    Parts &opened = *storage->parts;
    Findings found = opened.loadMeta(replicaId);
    if (found.empty()) {
        found = opened.loadSnapshot();
    }
    if (found.empty()) {
        found = opened.loadLog();
    }
    if (!found.empty()) {
        return found;
    }
    opened.state.diskId = opened.meta.disk_id();
    opened.state.term = opened.meta.term();
    opened.state.votedFor = opened.meta.voted_for();
    return storage;
}

Storage::Storage(std::unique_ptr<Parts> parts)
    : parts(std::move(parts))
{
}

Result<std::string> Storage::replicaIdOf(const std::filesystem::path &folder)
{
    if (!std::filesystem::exists(folder / MetaName)) {
        return std::string();
    }
    const Result<std::string> content = readChecksummedFile(folder / MetaName);
    if (!content) {
        return content.error();
    }
    wire::DiskMeta meta;
    meta.ParseFromString(content.value());
    return meta.replica_id();
}

Storage::~Storage()
{
    {
        const std::lock_guard guard(this->parts->mutex);
        this->parts->isStopping = true;
    }
    this->parts->queueChanged.notify_one();
    if (this->parts->writer.joinable()) {
        this->parts->writer.join();
    }
    close(this->parts->lock);
}

raft::PersistentState Storage::takeState()
{
    return std::exchange(this->parts->state, {});
}

void Storage::start(StorageCallbacks callbacks)
{
    this->parts->callbacks = std::move(callbacks);
    this->parts->writer = std::thread([parts = this->parts.get()] {
        parts->run();
    });
}

void Storage::submit(raft::WriteDisk batch)
{
    {
        const std::lock_guard guard(this->parts->mutex);
        for (const raft::DiskOperation &operation : batch.operations) {
            if (const auto *append = std::get_if<raft::AppendEntries>(&operation)) {
                this->parts->counters.entries += append->entries.size();
            }
        }
        this->parts->queue.push_back(std::move(batch));
    }
    this->parts->queueChanged.notify_one();
}

StorageCounters Storage::counters() const
{
    const std::lock_guard guard(this->parts->mutex);
    return this->parts->counters;
}

} // namespace bergamotweir::disk
