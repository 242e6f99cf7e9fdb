#pragma once

#include "base/Result.h"
#include "disk/FileOperations.h"
#include "raft.pb.h"

#include <cstdint>
#include <deque>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotweir::disk {

/**
 * The segment files of the log in one folder. Owned by Storage; not thread-safe.
 * A change is durable when its method returns without findings. After a finding the object must not be used any more.
 */
class LogFiles
{
public:
    /**
     * @param folder existing data folder
     * @param files file system calls; must outlive this object
     */
    LogFiles(std::filesystem::path folder, const FileOperations &files);
    ~LogFiles();
    LogFiles(const LogFiles &) = delete;
    LogFiles &operator=(const LogFiles &) = delete;

    /**
     * Reads every segment and truncates a torn tail.
     * @return the entries in order, or the position of a corrupt record or a gap
     */
    Result<std::vector<wire::LogEntry>> load();

    /** Appends entries as one batch with one sync. */
    Findings append(const std::vector<wire::LogEntry> &entries);

    /** Removes the entry at an index and all later entries. */
    Findings truncateFrom(std::uint64_t index);

    /** Removes the segments that hold no entry above an index; the last segment stays. */
    Findings dropThrough(std::uint64_t index);

    /** Removes every entry. */
    Findings reset();

private:
    struct Segment {
        std::filesystem::path path;
        int descriptor = -1;
        std::uint64_t size = 0;
        /** Index of the first entry; 0 while empty. */
        std::uint64_t firstIndex = 0;
        std::deque<std::uint64_t> offsets;
    };

    Findings loadSegment(Segment &segment, bool isLast, std::vector<wire::LogEntry> &entries);
    Findings truncateTornTail(Segment &segment, std::string_view bytes, std::uint64_t offset, bool isLast);
    Findings addSegment();
    Findings removeLastSegment();
    Findings truncateSegment(Segment &segment, std::uint64_t size);
    Findings writeBatch(const std::string &bytes);

    const std::filesystem::path folder;
    const FileOperations &files;
    std::deque<Segment> segments;
    std::uint64_t lastSequence = 0;
    std::uint64_t lastBatch = 0;
    bool shouldRoll = false;
};

} // namespace bergamotweir::disk
