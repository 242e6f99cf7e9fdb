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

/** Opens a folder, writes batches one after the other and closes it. @return what failed */
Findings write(const std::filesystem::path &folder,
               const Batches &batches,
               disk::FileOperations files = disk::systemFileOperations())
{
    auto storage = std::move(disk::Storage::open(folder, "a", std::move(files)).value());
    Findings failed;
    std::promise<void> ended;
    std::promise<raft::Ticket> *waiting = nullptr;
    std::promise<raft::Ticket> synced;
    storage->start({.synced =
                        [&](raft::Ticket ticket) {
                            waiting->set_value(ticket);
                        },
                    .failed =
                        [&](const Findings &findings) {
                            failed = findings;
                            waiting->set_value(0);
                        }});
    raft::Ticket ticket = 0;
    for (const std::vector<raft::DiskOperation> &operations : batches) {
        synced = {};
        waiting = &synced;
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

std::string whyNot(const std::filesystem::path &folder, const std::string &replica = "a")
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

TEST_CASE("a data folder keeps vote, entries, cuts and snapshots", "[disk]")
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

// A VM loses power while a batch is written: whatever part of it reached the disk, the replica starts again with all
// that had been synced before.
TEST_CASE("a torn tail is cut at whatever byte the write ended", "[disk]")
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

// The same, but the pages of the batch reach the disk out of order: its end is there, its beginning isn't.
TEST_CASE("a batch whose later part alone reached the disk is cut", "[disk]")
{
    TemporaryFolder folder;
    REQUIRE(write(folder.path, {ThreeBatches[0]}).empty());
    const std::uint64_t synced = std::filesystem::file_size(lastSegment(folder.path));
    REQUIRE(write(folder.path, {{entries(3, 8)}}).empty());
    flipByte(lastSegment(folder.path), synced + 20);
    REQUIRE(read(folder.path) == std::vector<std::string>{"1/1", "1/2"});
    REQUIRE(std::filesystem::file_size(lastSegment(folder.path)) == synced);
}

// A bit rots in entries that were acknowledged. Cutting there would forget them; the replica says where and stops.
TEST_CASE("a corrupt middle is an error with file and offset, at every byte of it", "[disk]")
{
    TemporaryFolder folder;
    REQUIRE(write(folder.path, {ThreeBatches[0]}).empty());
    const std::uint64_t first = std::filesystem::file_size(lastSegment(folder.path));
    REQUIRE(write(folder.path, {ThreeBatches[1], ThreeBatches[2]}).empty());
    for (std::uint64_t offset = 0; offset < first; ++offset) {
        INFO("byte " << offset << " of " << first);
        flipByte(lastSegment(folder.path), offset);
        const std::string why = whyNot(folder.path);
        REQUIRE(why.find(lastSegment(folder.path).string() + ", offset ") != std::string::npos);
        REQUIRE(why.find("corrupt") != std::string::npos);
        flipByte(lastSegment(folder.path), offset);
    }
    REQUIRE(read(folder.path).size() == 6);
}

// A disk fills up or stops syncing: nothing of the batch may be called durable, and nothing after it.
TEST_CASE("a full disk or a failing sync is told with its file, and nothing is called durable", "[disk]")
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

// The same for each other kind of change: a vote, a cut, a snapshot.
TEST_CASE("a failing sync of a vote, a cut or a snapshot is told", "[disk]")
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

// A new leader replaces entries that reach back over several files, and a file in the middle is lost.
TEST_CASE("a cut reaches over segments, and a missing segment is an error", "[disk]")
{
    TemporaryFolder folder;
    const raft::SaveSnapshot newSegment{snapshotAt(1), false};
    REQUIRE(write(folder.path, {{raft::SaveVote{2, ""}, entries(1, 3), newSegment, entries(4, 6)}}).empty());
    const std::filesystem::path middle = lastSegment(folder.path);
    REQUIRE(write(folder.path, {{newSegment, entries(7, 9)}}).empty());
    TemporaryFolder lossy;
    std::filesystem::copy(folder.path, lossy.path, std::filesystem::copy_options::recursive);
    std::filesystem::remove(lossy.path / middle.filename());
    REQUIRE(whyNot(lossy.path).find("not contiguous") != std::string::npos);
    REQUIRE(write(folder.path, {{raft::TruncateFrom{3}, entries(3, 4, 2)}}).empty());
    REQUIRE(read(folder.path) == std::vector<std::string>{"1/2", "2/3", "2/4"});
}

// A replica installs a snapshot and dies before the log that the snapshot replaces is gone.
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

// An operator starts a replica on another one's folder, twice on the same one, or on one whose files were lost.
TEST_CASE("a folder of another replica, in use, or with files missing is refused", "[disk]")
{
    TemporaryFolder folder;
    REQUIRE(write(folder.path, ThreeBatches).empty());
    REQUIRE(whyNot(folder.path, "b").find("belongs to replica a") != std::string::npos);
    {
        const auto held = disk::Storage::open(folder.path, "a");
        REQUIRE(held.has_value());
        REQUIRE(whyNot(folder.path).find("another process") != std::string::npos);
    }
    flipByte(folder.path / "meta", 12);
    REQUIRE(whyNot(folder.path).find("corrupt") != std::string::npos);
    std::filesystem::remove(folder.path / "meta");
    REQUIRE(whyNot(folder.path).find("without its meta file") != std::string::npos);
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
