#include "disk/Storage.h"
#include "ReplicaGroup.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <future>

using namespace bergamotweir;
using tests::TemporaryFolder;

namespace {

wire::LogEntry entryAt(std::uint64_t index, std::uint64_t term = 1)
{
    wire::LogEntry entry;
    entry.set_index(index);
    entry.set_term(term);
    entry.set_payload("payload of " + std::to_string(index));
    return entry;
}

raft::AppendEntries entries(std::uint64_t first, std::uint64_t last, std::uint64_t term = 1)
{
    raft::AppendEntries append;
    for (std::uint64_t index = first; index <= last; ++index) {
        append.entries.push_back(entryAt(index, term));
    }
    return append;
}

raft::SnapshotPtr snapshotAt(std::uint64_t index, std::uint64_t term = 1)
{
    auto snapshot = std::make_shared<raft::Snapshot>();
    snapshot->lastIndex = index;
    snapshot->lastTerm = term;
    snapshot->data = "state at " + std::to_string(index);
    return snapshot;
}

using Batches = std::vector<std::vector<raft::DiskOperation>>;

/** Opens a folder, writes the batches one after the other and closes it. @return the findings of a failed write */
Findings write(const std::filesystem::path &folder,
               const Batches &batches,
               disk::FileOperations files = disk::systemFileOperations())
{
    auto storage = std::move(disk::Storage::open(folder, "a", std::move(files)).value());
    Findings failed;
    std::promise<void> ended;
    std::promise<raft::Ticket> *pendingSync = nullptr;
    std::promise<raft::Ticket> synced;
    storage->start({.synced =
                        [&](raft::Ticket ticket) {
                            pendingSync->set_value(ticket);
                        },
                    .failed =
                        [&](const Findings &findings) {
                            failed = findings;
                            pendingSync->set_value(0);
                        }});
    raft::Ticket ticket = 0;
    for (const std::vector<raft::DiskOperation> &operations : batches) {
        synced = {};
        pendingSync = &synced;
        storage->submit({++ticket, operations});
        if (synced.get_future().get() == 0) {
            break;
        }
    }
    return failed;
}

std::vector<std::string> read(const std::filesystem::path &folder)
{
    auto storage = std::move(disk::Storage::open(folder, "a").value());
    std::vector<std::string> found;
    for (const wire::LogEntry &entry : storage->takeState().entries) {
        found.push_back(std::to_string(entry.term()) + "/" + std::to_string(entry.index()));
    }
    return found;
}

std::string openError(const std::filesystem::path &folder, const std::string &replica = "a")
{
    const auto opened = disk::Storage::open(folder, replica);
    return opened ? std::string() : toText(opened.error());
}

std::filesystem::path lastSegment(const std::filesystem::path &folder)
{
    std::filesystem::path last;
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        const bool isLog = file.path().filename().string().starts_with("log-");
        last = isLog && file.path() > last ? file.path() : last;
    }
    return last;
}

void flipByte(const std::filesystem::path &file, std::uint64_t offset)
{
    std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
    stream.seekg(static_cast<std::streamoff>(offset));
    const int byte = stream.get();
    stream.seekp(static_cast<std::streamoff>(offset));
    stream.put(static_cast<char>(byte ^ 0x40));
}

const Batches ThreeBatches{{raft::SaveVote{1, "a/disk"}, entries(1, 2)}, {entries(3, 5)}, {entries(6, 6)}};

} // namespace

TEST_CASE("a data folder keeps vote, entries, truncations and snapshots", "[disk]")
{
    TemporaryFolder folder;
    REQUIRE(write(folder.path, {{raft::SaveVote{1, "b/disk b"}, entries(1, 4)}, {raft::TruncateFrom{3}, entries(3, 3)}})
                .empty());
    REQUIRE(read(folder.path) == std::vector<std::string>{"1/1", "1/2", "1/3"});
    REQUIRE(write(folder.path, {{raft::SaveVote{2, ""}, raft::SaveSnapshot{snapshotAt(2), false}}, {entries(4, 5, 2)}})
                .empty());
    REQUIRE(read(folder.path) == std::vector<std::string>{"1/3", "2/4", "2/5"});
    REQUIRE(write(folder.path, {{raft::SaveSnapshot{snapshotAt(9, 2), true}}, {entries(10, 11, 2)}}).empty());
    auto storage = std::move(disk::Storage::open(folder.path, "a").value());
    const raft::PersistentState state = storage->takeState();
    REQUIRE(state.entries.size() == 2);
    REQUIRE(state.snapshot->data == "state at 9");
    REQUIRE(state.term == 2);
    REQUIRE(state.votedFor.empty());
    REQUIRE(state.diskId.size() == 32);
}

// Guards against a VM that loses power while it writes a batch: whatever part of the batch reached the disk, the
// replica must start with everything that had been synced before.
TEST_CASE("a torn tail is truncated, whichever byte the write ended at", "[disk]")
{
    TemporaryFolder whole;
    REQUIRE(write(whole.path, {ThreeBatches[0], ThreeBatches[1]}).empty());
    const std::uint64_t synced = std::filesystem::file_size(lastSegment(whole.path));
    REQUIRE(write(whole.path, {{entries(6, 8)}}).empty());
    const std::uint64_t size = std::filesystem::file_size(lastSegment(whole.path));
    for (std::uint64_t cut = synced; cut < size; ++cut) {
        INFO("cut at " << cut << " of " << size);
        TemporaryFolder torn;
        std::filesystem::copy(whole.path, torn.path, std::filesystem::copy_options::recursive);
        std::filesystem::resize_file(lastSegment(torn.path), cut);
        REQUIRE(read(torn.path).size() >= 5);
        REQUIRE(read(torn.path).size() <= 8);
        REQUIRE(write(torn.path, {{raft::TruncateFrom{6}, entries(6, 7)}}).empty());
        REQUIRE(read(torn.path).size() == 7);
    }
}

// Guards against pages of a batch that reach the disk out of order: its end was written, its beginning was not.
TEST_CASE("a batch of which only the later part reached the disk is truncated", "[disk]")
{
    TemporaryFolder folder;
    REQUIRE(write(folder.path, {ThreeBatches[0]}).empty());
    const std::uint64_t synced = std::filesystem::file_size(lastSegment(folder.path));
    REQUIRE(write(folder.path, {{entries(3, 8)}}).empty());
    flipByte(lastSegment(folder.path), synced + 20);
    REQUIRE(read(folder.path) == std::vector<std::string>{"1/1", "1/2"});
    REQUIRE(std::filesystem::file_size(lastSegment(folder.path)) == synced);
}

// Guards against bit rot in acknowledged entries: truncating there would lose them, so the replica must report the
// position and stop.
TEST_CASE("corruption at any byte of a synced batch is an error with file and offset", "[disk]")
{
    TemporaryFolder folder;
    REQUIRE(write(folder.path, {ThreeBatches[0]}).empty());
    const std::uint64_t first = std::filesystem::file_size(lastSegment(folder.path));
    REQUIRE(write(folder.path, {ThreeBatches[1], ThreeBatches[2]}).empty());
    for (std::uint64_t offset = 0; offset < first; ++offset) {
        INFO("byte " << offset << " of " << first);
        flipByte(lastSegment(folder.path), offset);
        const std::string why = openError(folder.path);
        REQUIRE(why.find(lastSegment(folder.path).string() + ", offset ") != std::string::npos);
        REQUIRE(why.find("corrupt") != std::string::npos);
        flipByte(lastSegment(folder.path), offset);
    }
    REQUIRE(read(folder.path).size() == 6);
}

// Guards against a full disk or a failing sync: neither the batch nor any later one may be reported as durable.
TEST_CASE("a full disk or a failing sync is reported with its file, and nothing is reported as durable", "[disk]")
{
    for (const bool full : {true, false}) {
        TemporaryFolder folder;
        REQUIRE(write(folder.path, {ThreeBatches[0]}).empty());
        disk::FileOperations files = disk::systemFileOperations();
        if (full) {
            files.write = [](int descriptor, const std::string &bytes, std::uint64_t offset) {
                disk::systemFileOperations().write(descriptor, bytes.substr(0, bytes.size() / 2), offset);
                return ENOSPC;
            };
        } else {
            files.sync = [](int) {
                return EIO;
            };
        }
        const Findings failed = write(folder.path, {ThreeBatches[1], ThreeBatches[2]}, files);
        REQUIRE(failed.size() == 1);
        REQUIRE(failed.front().place.find("log-") != std::string::npos);
        REQUIRE(failed.front().message.find(full ? "No space left" : "Input/output error") != std::string::npos);
        REQUIRE(read(folder.path).size() >= 2);
        REQUIRE(read(folder.path).size() <= 5);
    }
}

// Guards against a failing sync of the other kinds of change: vote, truncation and snapshot.
TEST_CASE("a failing sync of a vote, a truncation or a snapshot is reported", "[disk]")
{
    const std::vector<raft::DiskOperation> changes{
        raft::SaveVote{2, "b/disk b"}, raft::TruncateFrom{2}, raft::SaveSnapshot{snapshotAt(2), false}};
    for (const raft::DiskOperation &change : changes) {
        INFO("change " << change.index());
        TemporaryFolder folder;
        REQUIRE(write(folder.path, {ThreeBatches[0]}).empty());
        disk::FileOperations files = disk::systemFileOperations();
        files.sync = [](int) {
            return EIO;
        };
        REQUIRE(write(folder.path, {{change}}, files).size() == 1);
    }
}

// Guards against a truncation that spans several segments, and against the loss of a segment in the middle.
TEST_CASE("a truncation can span segments, and a missing segment is an error", "[disk]")
{
    TemporaryFolder folder;
    const raft::SaveSnapshot newSegment{snapshotAt(1), false};
    REQUIRE(write(folder.path, {{raft::SaveVote{2, ""}, entries(1, 3), newSegment, entries(4, 6)}}).empty());
    const std::filesystem::path middle = lastSegment(folder.path);
    REQUIRE(write(folder.path, {{newSegment, entries(7, 9)}}).empty());
    TemporaryFolder lossy;
    std::filesystem::copy(folder.path, lossy.path, std::filesystem::copy_options::recursive);
    std::filesystem::remove(lossy.path / middle.filename());
    REQUIRE(openError(lossy.path).find("not contiguous") != std::string::npos);
    REQUIRE(write(folder.path, {{raft::TruncateFrom{3}, entries(3, 4, 2)}}).empty());
    REQUIRE(read(folder.path) == std::vector<std::string>{"1/2", "2/3", "2/4"});
}

// Guards against a crash after a snapshot was installed and before the log that it replaces was removed.
TEST_CASE("a log that an installed snapshot replaced is dropped at the next start", "[disk]")
{
    TemporaryFolder folder;
    REQUIRE(write(folder.path, {ThreeBatches[0], ThreeBatches[1]}).empty());
    TemporaryFolder other;
    REQUIRE(write(other.path, {{raft::SaveVote{1, ""}, raft::SaveSnapshot{snapshotAt(20), true}}}).empty());
    std::filesystem::copy(other.path / "snapshot", folder.path / "snapshot");
    REQUIRE(read(folder.path).empty());
    REQUIRE(write(folder.path, {{entries(21, 22)}}).empty());
    REQUIRE(read(folder.path) == std::vector<std::string>{"1/21", "1/22"});
}

// Guards against a replica that is started on the folder of another one, on a folder in use, or on one that lost files.
TEST_CASE("a folder that belongs to another replica, is in use or has files missing is refused", "[disk]")
{
    TemporaryFolder folder;
    REQUIRE(write(folder.path, ThreeBatches).empty());
    REQUIRE(openError(folder.path, "b").find("belongs to replica a") != std::string::npos);
    {
        const auto held = disk::Storage::open(folder.path, "a");
        REQUIRE(held.has_value());
        REQUIRE(openError(folder.path).find("another process") != std::string::npos);
    }
    flipByte(folder.path / "meta", 12);
    REQUIRE(openError(folder.path).find("corrupt") != std::string::npos);
    std::filesystem::remove(folder.path / "meta");
    REQUIRE(openError(folder.path).find("without its meta file") != std::string::npos);
}

TEST_CASE("segments that a snapshot covers are removed", "[disk]")
{
    TemporaryFolder folder;
    Batches batches{{raft::SaveVote{1, ""}}};
    for (std::uint64_t index = 1; index <= 40; ++index) {
        batches.push_back({entries(index, index)});
        if (index % 10 == 0) {
            batches.push_back({raft::SaveSnapshot{snapshotAt(index), false}});
        }
    }
    REQUIRE(write(folder.path, batches).empty());
    std::size_t segments = 0;
    for (const auto &file : std::filesystem::directory_iterator(folder.path)) {
        segments += file.path().filename().string().starts_with("log-") ? 1 : 0;
    }
    REQUIRE(segments == 1);
    REQUIRE(read(folder.path).empty());
}
