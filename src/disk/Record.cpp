#include "disk/Record.h"

#include <xxhash.h>

#include <cstring>

namespace bergamotweir::disk {

namespace {

constexpr std::uint32_t RecordMagic = 0x62657267;

/** As it stands in the file, in the byte order of x86-64 and arm64. */
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

std::string sealWhole(std::string_view content)
{
    const std::uint64_t checksum = XXH3_64bits(content.data(), content.size());
    std::string sealed(reinterpret_cast<const char *>(&checksum), sizeof(checksum));
    sealed.append(content);
    return sealed;
}

std::optional<std::string> openWhole(std::string_view sealed)
{
    std::uint64_t checksum = 0;
    if (sealed.size() < sizeof(checksum)) {
        return std::nullopt;
    }
    std::memcpy(&checksum, sealed.data(), sizeof(checksum));
    const std::string_view content = sealed.substr(sizeof(checksum));
    if (XXH3_64bits(content.data(), content.size()) != checksum) {
        return std::nullopt;
    }
    return std::string(content);
}

} // namespace bergamotweir::disk
