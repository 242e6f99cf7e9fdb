#include "disk/Record.h"

#include <xxhash.h>

#include <cstring>

namespace bergamotweir::disk {

namespace {

constexpr std::uint32_t RecordMagic = 0x62657267;

/** Header of a record in its on-disk layout, in little-endian byte order (x86-64 and arm64). */
struct RecordHeader {
    std::uint32_t magic = RecordMagic;
    std::uint32_t length = 0;
    std::uint64_t batch = 0;
    std::uint32_t ordinal = 0;
    std::uint32_t reserved = 0;
    std::uint64_t checksum = 0;
};
static_assert(sizeof(RecordHeader) == 32);

std::uint64_t checksumOf(RecordHeader header, std::string_view payload)
{
    header.checksum = 0;
    const std::uint64_t seed = XXH3_64bits(&header, sizeof(header));
    return XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
}

} // namespace

void encodeRecord(std::string &buffer, std::uint64_t batch, std::uint32_t ordinal, std::string_view payload)
{
    RecordHeader header;
    header.length = static_cast<std::uint32_t>(payload.size());
    header.batch = batch;
    header.ordinal = ordinal;
    header.checksum = checksumOf(header, payload);
    buffer.append(reinterpret_cast<const char *>(&header), sizeof(header));
    buffer.append(payload);
}

std::optional<Record> decodeRecord(std::string_view file, std::size_t offset)
{
    RecordHeader header;
    if (offset + sizeof(header) > file.size()) {
        return std::nullopt;
    }
    std::memcpy(&header, file.data() + offset, sizeof(header));
    if (header.magic != RecordMagic || header.length > file.size() - offset - sizeof(header)) {
        return std::nullopt;
    }
    const std::string_view payload = file.substr(offset + sizeof(header), header.length);
    if (checksumOf(header, payload) != header.checksum) {
        return std::nullopt;
    }
    return Record{header.batch, header.ordinal, payload, sizeof(header) + header.length};
}

std::string prependChecksum(std::string_view content)
{
    const std::uint64_t checksum = XXH3_64bits(content.data(), content.size());
    std::string checksummed(reinterpret_cast<const char *>(&checksum), sizeof(checksum));
    checksummed.append(content);
    return checksummed;
}

std::optional<std::string> stripChecksum(std::string_view checksummed)
{
    std::uint64_t checksum = 0;
    if (checksummed.size() < sizeof(checksum)) {
        return std::nullopt;
    }
    std::memcpy(&checksum, checksummed.data(), sizeof(checksum));
    const std::string_view content = checksummed.substr(sizeof(checksum));
    if (XXH3_64bits(content.data(), content.size()) != checksum) {
        return std::nullopt;
    }
    return std::string(content);
}

} // namespace bergamotweir::disk
