#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace bergamotweir::rpc {

/** Size of the length, in little-endian byte order, that precedes the payload of each frame. */
inline constexpr std::size_t FrameHeaderBytes = 4;

/** Splits a byte stream into frames. Bounded: a frame above the maximum size ends the stream. */
struct FrameReader {
    /** Maximum size of a payload in bytes. */
    std::size_t maxBytes = 0;
    /** Received bytes that have not been returned as frames. */
    std::string received = {};
    /** Number of bytes at the start of received that have already been returned. */
    std::size_t consumed = 0;
    /** A frame exceeded maxBytes. No further frame is returned. */
    bool failed = false;
};

/** Adds received bytes; invalidates the frames returned before. */
void append(FrameReader &reader, std::string_view bytes);

/** @return the payload of the next complete frame, valid until the next append(); std::nullopt if there is none */
std::optional<std::string_view> nextFrame(FrameReader &reader);

/** @return the header of a frame with @p payloadBytes */
std::string frameHeader(std::size_t payloadBytes);

} // namespace bergamotweir::rpc
