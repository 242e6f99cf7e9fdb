#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamotweir::disk {

/** One checksummed record of a log file. A batch is the set of records written with one sync. */
struct Record {
    std::uint64_t batch = 0;
    /** Position within the batch, from 0. */
    std::uint32_t ordinal = 0;
    /** Serialised wire::LogEntry. */
    std::string_view payload;
    /** Size in the file in bytes, header included. */
    std::size_t size = 0;
};

/** Appends a record to a buffer. */
void encodeRecord(std::string &buffer, std::uint64_t batch, std::uint32_t ordinal, std::string_view payload);

/** @return the record at an offset; none if it is truncated or its checksum differs */
std::optional<Record> decodeRecord(std::string_view file, std::size_t offset);

/** @return the content with its checksum prepended */
std::string prependChecksum(std::string_view content);

/** @return the content without its checksum; none if the checksum differs */
std::optional<std::string> stripChecksum(std::string_view checksummed);

} // namespace bergamotweir::disk
