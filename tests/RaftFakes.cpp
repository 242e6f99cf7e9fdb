#include "RaftFakes.h"

#include <xxhash.h>

#include <algorithm>

namespace bergamotweir::tests {

void applyOperation(raft::PersistentState &durable, const raft::DiskOperation &operation, std::size_t maxEntries)
{
    if (const auto *vote = std::get_if<raft::SaveVote>(&operation)) {
        durable.term = vote->term;
        durable.votedFor = vote->votedFor;
    } else if (const auto *append = std::get_if<raft::AppendEntries>(&operation)) {
        const auto count = static_cast<std::ptrdiff_t>(std::min(maxEntries, append->entries.size()));
        durable.entries.insert(durable.entries.end(), append->entries.begin(), append->entries.begin() + count);
    } else if (const auto *cut = std::get_if<raft::TruncateFrom>(&operation)) {
        std::erase_if(durable.entries, [cut](const wire::LogEntry &entry) {
            return entry.index() >= cut->index;
        });
    } else {
        const auto &save = std::get<raft::SaveSnapshot>(operation);
        durable.snapshot = save.snapshot;
        std::erase_if(durable.entries, [&save](const wire::LogEntry &entry) {
            return save.resetLog || entry.index() <= save.snapshot->lastIndex;
        });
    }
}

void crash(FakeDisk &disk, pcg32 *torn)
{
    std::vector<raft::DiskOperation> unsynced;
    for (const raft::WriteDisk &batch : disk.pending) {
        unsynced.insert(unsynced.end(), batch.operations.begin(), batch.operations.end());
    }
    disk.pending.clear();
    disk.syncing = false;
    if (torn == nullptr || unsynced.empty()) {
        return;
    }
    const std::size_t whole = (*torn)(static_cast<std::uint32_t>(unsynced.size()));
    for (std::size_t index = 0; index < whole; ++index) {
        applyOperation(disk.durable, unsynced[index]);
    }
    if (std::holds_alternative<raft::AppendEntries>(unsynced[whole])) {
        applyOperation(disk.durable, unsynced[whole], (*torn)(3));
    }
}

std::uint64_t lastIndexOf(const raft::PersistentState &durable)
{
    if (!durable.entries.empty()) {
        return durable.entries.back().index();
    }
    return durable.snapshot ? durable.snapshot->lastIndex : 0;
}

std::string stateAfter(const std::string &state, const wire::LogEntry &entry)
{
    const std::string bytes = state + entry.payload();
    return std::to_string(entry.index()) + ":" + std::to_string(XXH3_64bits(bytes.data(), bytes.size()));
}

} // namespace bergamotweir::tests
