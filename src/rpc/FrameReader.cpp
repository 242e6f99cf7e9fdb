#include "rpc/FrameReader.h"

#include <cstdint>

namespace bergamotweir::rpc {

namespace {

/** Memory above this size is returned once a large frame has been handled. */
constexpr std::size_t MaxIdleCapacity = std::size_t{64} * 1024;
constexpr unsigned BitsPerByte = 8;

std::size_t payloadSize(std::string_view header)
{
    std::uint32_t size = 0;
    for (std::size_t index = 0; index < FrameHeaderBytes; ++index) {
        size |= static_cast<std::uint32_t>(static_cast<unsigned char>(header[index])) << (BitsPerByte * index);
    }
    return size;
}

} // namespace

void append(FrameReader &reader, std::string_view bytes)
{
    reader.received.erase(0, reader.consumed);
    reader.consumed = 0;
    if (reader.received.empty() && reader.received.capacity() > MaxIdleCapacity) {
        reader.received = {};
    }
    reader.received.append(bytes);
}

std::optional<std::string_view> nextFrame(FrameReader &reader)
{
    const std::string_view rest = std::string_view(reader.received).substr(reader.consumed);
    if (reader.failed || rest.size() < FrameHeaderBytes) {
        return std::nullopt;
    }
    const std::size_t size = payloadSize(rest);
    if (size > reader.maxBytes) {
        reader.failed = true;
        return std::nullopt;
    }
    if (rest.size() - FrameHeaderBytes < size) {
        return std::nullopt;
    }
    reader.consumed += FrameHeaderBytes + size;
    return rest.substr(FrameHeaderBytes, size);
}

std::string frameHeader(std::size_t payloadBytes)
{
    std::string header;
    for (std::size_t index = 0; index < FrameHeaderBytes; ++index) {
        header.push_back(static_cast<char>((payloadBytes >> (BitsPerByte * index)) & 0xffU));
    }
    return header;
}

} // namespace bergamotweir::rpc
