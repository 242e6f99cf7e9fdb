#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bergamotweir::disk {

/** One checksummed piece of a log file. A batch is what one sync made durable. */
struct Record {
    std::uint64_t batch = 0;
    /** Place within its batch. */
    std::uint32_t ordinal = 0;
    /** Serialised wire::LogEntry. */
    std::string_view payload;
    /** Bytes it takes in the file. */
    std::size_t size = 0;
};

/** Appends a record to a buffer. */
void encodeRecord(std::string &buffer, std::uint64_t batch, std::uint32_t ordinal, std::string_view payload);

/** @return the record at an offset; none when it isn't whole or its checksum differs */
std::optional<Record> decodeRecord(std::string_view file, std::size_t offset);

/** @return a file's content with its checksum in front */
std::string sealWhole(std::string_view content);

/** @return the content; none when the checksum differs */
std::optional<std::string> openWhole(std::string_view sealed);

} // namespace bergamotweir::disk
