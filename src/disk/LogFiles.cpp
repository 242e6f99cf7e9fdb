#include "disk/LogFiles.h"

#include "disk/ChecksummedFile.h"
#include "disk/Record.h"

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <charconv>
#include <cstdio>

#include <fcntl.h>
#include <unistd.h>

namespace bergamotweir::disk {

namespace {

constexpr std::uint64_t SegmentBytes = std::uint64_t{16} * 1024 * 1024;
constexpr std::string_view SegmentPrefix = "log-";
constexpr int FileMode = 0600;

std::string segmentName(std::uint64_t sequence)
{
    char name[32];
    std::snprintf(name, sizeof(name), "%s%020llu", SegmentPrefix.data(), static_cast<unsigned long long>(sequence));
    return name;
}

std::vector<std::uint64_t> listSequences(const std::filesystem::path &folder)
{
    std::vector<std::uint64_t> sequences;
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        const std::string name = file.path().filename().string();
        if (!name.starts_with(SegmentPrefix)) {
            continue;
        }
        std::uint64_t sequence = 0;
        std::from_chars(name.data() + SegmentPrefix.size(), name.data() + name.size(), sequence);
        sequences.push_back(sequence);
    }
    std::sort(sequences.begin(), sequences.end());
    return sequences;
}

/**
 * Returns whether the bytes after an invalid record prove that its batch had been synced. A batch is written only after
 * the sync of the previous one, so a valid record of a later batch is the proof.
 */
bool wasSynced(std::string_view bytes, std::uint64_t badOffset)
{
    std::optional<std::uint64_t> tornBatch;
    for (std::size_t offset = badOffset + 1; offset < bytes.size(); ++offset) {
        const std::optional<Record> record = decodeRecord(bytes, offset);
        if (!record) {
            continue;
        }
        if (record->ordinal == 0 || (tornBatch && record->batch != *tornBatch)) {
            return true;
        }
        tornBatch = record->batch;
        offset += record->size - 1;
    }
    return false;
}

} // namespace

LogFiles::LogFiles(std::filesystem::path folder, const FileOperations &files)
    : folder(std::move(folder))
    , files(files)
{
}

LogFiles::~LogFiles()
{
    for (const Segment &segment : this->segments) {
        close(segment.descriptor);
    }
}

Result<std::vector<wire::LogEntry>> LogFiles::load()
{
    std::vector<wire::LogEntry> entries;
    const std::vector<std::uint64_t> sequences = listSequences(this->folder);
    for (const std::uint64_t sequence : sequences) {
        Segment segment;
        segment.path = this->folder / segmentName(sequence);
        segment.descriptor = open(segment.path.c_str(), O_RDWR | O_CLOEXEC);
        if (segment.descriptor < 0) {
            return ioFinding(segment.path, 0, "opening", errno);
        }
        this->segments.push_back(std::move(segment));
        this->lastSequence = sequence;
        Findings found = this->loadSegment(this->segments.back(), sequence == sequences.back(), entries);
        if (!found.empty()) {
            return found;
        }
    }
    return entries;
}

Findings LogFiles::loadSegment(Segment &segment, bool isLast, std::vector<wire::LogEntry> &entries)
{
    const Result<std::string> read = readFile(segment.path);
    if (!read) {
        return read.error();
    }
    const std::string &bytes = read.value();
    std::uint64_t offset = 0;
    while (offset < bytes.size()) {
        const std::optional<Record> record = decodeRecord(bytes, offset);
        if (!record) {
            return this->truncateTornTail(segment, bytes, offset, isLast);
        }
        const std::string place = segment.path.string() + ", offset " + std::to_string(offset);
        if (record->batch < this->lastBatch) {
            return oneFinding(place, "batch numbers go back: the file is corrupt", "replace this replica");
        }
        this->lastBatch = record->batch;
        wire::LogEntry entry;
        const bool parsed = entry.ParseFromArray(record->payload.data(), static_cast<int>(record->payload.size()));
        if (!parsed || (!entries.empty() && entry.index() != entries.back().index() + 1)) {
            return oneFinding(place, "entries are not contiguous: the log is corrupt", "replace this replica");
        }
        segment.firstIndex = segment.offsets.empty() ? entry.index() : segment.firstIndex;
        segment.offsets.push_back(offset);
        entries.push_back(std::move(entry));
        offset += record->size;
    }
    segment.size = offset;
    return {};
}

/*
 * Distinguishes a torn write from corruption. A crash during a write leaves a torn batch that was never acknowledged:
 * it is truncated, as otherwise the replica could not start again. An invalid record that had been synced was
 * acknowledged: truncating it would lose committed entries, so the replica refuses to start.
 */
Findings LogFiles::truncateTornTail(Segment &segment, std::string_view bytes, std::uint64_t offset, bool isLast)
{
    if (!isLast || wasSynced(bytes, offset)) {
        return oneFinding(segment.path.string() + ", offset " + std::to_string(offset),
                          "checksum differs in the middle of the log: the file is corrupt",
                          "replace this replica");
    }
    return this->truncateSegment(segment, offset);
}

Findings LogFiles::addSegment()
{
    Segment segment;
    segment.path = this->folder / segmentName(++this->lastSequence);
    segment.descriptor = open(segment.path.c_str(), O_RDWR | O_CREAT | O_EXCL | O_CLOEXEC, FileMode);
    if (segment.descriptor < 0) {
        return ioFinding(segment.path, 0, "creating", errno);
    }
    const int error = this->files.syncFolder(this->folder.string());
    if (error != 0) {
        close(segment.descriptor);
        return ioFinding(segment.path, 0, "syncing the folder", error);
    }
    this->segments.push_back(std::move(segment));
    this->shouldRoll = false;
    return {};
}

Findings LogFiles::writeBatch(const std::string &bytes)
{
    Segment &segment = this->segments.back();
    int error = this->files.write(segment.descriptor, bytes, segment.size);
    if (error != 0) {
        return ioFinding(segment.path, segment.size, "writing", error);
    }
    // A failed sync is final: the kernel may have dropped the dirty pages, so a successful retry would prove nothing.
    error = this->files.sync(segment.descriptor);
    if (error != 0) {
        return ioFinding(segment.path, segment.size, "syncing", error);
    }
    segment.size += bytes.size();
    return {};
}

/** Truncates and syncs a segment. Without the sync a crash could restore truncated records among newer ones. */
Findings LogFiles::truncateSegment(Segment &segment, std::uint64_t size)
{
    int error = this->files.truncate(segment.descriptor, size);
    if (error == 0) {
        error = this->files.sync(segment.descriptor);
    }
    if (error != 0) {
        return ioFinding(segment.path, size, "cutting", error);
    }
    segment.size = size;
    return {};
}

Findings LogFiles::append(const std::vector<wire::LogEntry> &entries)
{
    if (entries.empty()) {
        return {};
    }
    if (this->segments.empty() || this->shouldRoll || this->segments.back().size >= SegmentBytes) {
        Findings found = this->addSegment();
        if (!found.empty()) {
            return found;
        }
    }
    Segment &segment = this->segments.back();
    segment.firstIndex = segment.offsets.empty() ? entries.front().index() : segment.firstIndex;
    const std::uint64_t batch = ++this->lastBatch;
    std::uint32_t ordinal = 0;
    std::string bytes;
    for (const wire::LogEntry &entry : entries) {
        segment.offsets.push_back(segment.size + bytes.size());
        encodeRecord(bytes, batch, ordinal++, entry.SerializeAsString());
    }
    return this->writeBatch(bytes);
}

Findings LogFiles::removeLastSegment()
{
    std::error_code error;
    close(this->segments.back().descriptor);
    std::filesystem::remove(this->segments.back().path, error);
    const std::filesystem::path path = this->segments.back().path;
    this->segments.pop_back();
    return error ? ioFinding(path, 0, "removing", error.value()) : Findings();
}

Findings LogFiles::truncateFrom(std::uint64_t index)
{
    const std::size_t before = this->segments.size();
    while (this->segments.size() > 1
           && (this->segments.back().offsets.empty() || this->segments.back().firstIndex >= index)) {
        Findings found = this->removeLastSegment();
        if (!found.empty()) {
            return found;
        }
    }
    if (this->segments.size() != before) {
        // Without this sync a crash could restore a removed segment, and its stale entries would follow newer ones.
        const int error = this->files.syncFolder(this->folder.string());
        if (error != 0) {
            return ioFinding(this->folder, 0, "syncing the folder", error);
        }
    }
    if (this->segments.empty() || this->segments.back().offsets.empty()) {
        return {};
    }
    Segment &segment = this->segments.back();
    const std::uint64_t kept = index > segment.firstIndex ? index - segment.firstIndex : 0;
    if (kept >= segment.offsets.size()) {
        return {};
    }
    Findings found = this->truncateSegment(segment, segment.offsets[kept]);
    segment.offsets.resize(kept);
    return found;
}

Findings LogFiles::dropThrough(std::uint64_t index)
{
    std::error_code error;
    while (!this->segments.empty()) {
        const Segment &oldest = this->segments.front();
        const std::uint64_t lastIndex = oldest.offsets.empty() ? 0 : oldest.firstIndex + oldest.offsets.size() - 1;
        if (lastIndex > index || this->segments.size() == 1) {
            break;
        }
        close(oldest.descriptor);
        std::filesystem::remove(oldest.path, error);
        if (error) {
            return ioFinding(oldest.path, 0, "removing", error.value());
        }
        this->segments.pop_front();
    }
    // The next batch starts a new segment, so that the next snapshot can remove this one.
    this->shouldRoll = true;
    return {};
}

Findings LogFiles::reset()
{
    while (!this->segments.empty()) {
        Findings found = this->removeLastSegment();
        if (!found.empty()) {
            return found;
        }
    }
    const int error = this->files.syncFolder(this->folder.string());
    return error != 0 ? ioFinding(this->folder, 0, "syncing the folder", error) : Findings();
}

} // namespace bergamotweir::disk
