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
 * The log's segment files in one folder. Owned by Storage; used from one thread at a time.
 * Every change is durable when its method returns without findings. After a finding the object must not be used on.
 */
class LogFiles
{
public:
    /** @param folder exists @param files calls to use */
    LogFiles(std::filesystem::path folder, const FileOperations &files);
    ~LogFiles();
    LogFiles(const LogFiles &) = delete;
    LogFiles &operator=(const LogFiles &) = delete;

    /**
     * Reads every segment and cuts a torn tail.
     * @return the entries in order, or the place of a corrupt middle or a gap
     */
    Result<std::vector<wire::LogEntry>> load();

    /** Adds entries as one batch with one sync. */
    Findings append(const std::vector<wire::LogEntry> &entries);

    /** Drops the entry at an index and all behind it. */
    Findings truncateFrom(std::uint64_t index);

    /** Removes segments that hold nothing above an index. */
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

    Findings loadSegment(Segment &segment, bool last, std::vector<wire::LogEntry> &entries);
    Findings cutTail(Segment &segment, std::string_view bytes, std::uint64_t offset, bool last);
    Findings addSegment();
    Findings removeLastSegment();
    Findings cutSegment(Segment &segment, std::uint64_t size);
    Findings writeBatch(const std::string &bytes);

    const std::filesystem::path folder;
    const FileOperations &files;
    std::deque<Segment> segments;
    std::uint64_t lastSequence = 0;
    std::uint64_t lastBatch = 0;
    bool rollDue = false;
};

} // namespace bergamotweir::disk
