#include "rpc/FrameReader.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace bergamotweir;

namespace {

constexpr std::size_t MaxBytes = 1000;

/** Adds bytes in pieces of the given sizes, repeated. @return all frames read */
std::vector<std::string>
readInPieces(rpc::FrameReader &reader, std::string_view bytes, const std::vector<std::size_t> &sizes)
{
    std::vector<std::string> frames;
    for (std::size_t index = 0; !bytes.empty(); ++index) {
        const std::size_t size = std::min(bytes.size(), sizes[index % sizes.size()]);
        append(reader, bytes.substr(0, size));
        bytes.remove_prefix(size);
        while (const auto frame = nextFrame(reader)) {
            frames.emplace_back(*frame);
        }
    }
    return frames;
}

} // namespace

TEST_CASE("frames are read whole and in order, however the stream is divided")
{
    const bool holds = rc::check([] {
        const auto payloads = *rc::gen::container<std::vector<std::string>>(rc::gen::arbitrary<std::string>());
        const auto sizes = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange(1, 40)));
        std::string bytes;
        std::vector<std::string> expected;
        for (const std::string &payload : payloads) {
            expected.push_back(payload.substr(0, MaxBytes));
            bytes += rpc::frameHeader(expected.back().size()) + expected.back();
        }
        rpc::FrameReader reader{.maxBytes = MaxBytes};
        RC_ASSERT(readInPieces(reader, bytes, sizes) == expected);
        RC_ASSERT(!reader.failed);
    });
    CHECK(holds);
}

// Guards against memory that a corrupt or forged length claims.
TEST_CASE("a frame above the maximum size ends the stream, and arbitrary bytes stay within the bound")
{
    const bool holds = rc::check([] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        rpc::FrameReader reader{.maxBytes = MaxBytes};
        for (const std::string &frame : readInPieces(reader, bytes, {7})) {
            RC_ASSERT(frame.size() <= MaxBytes);
        }
    });
    CHECK(holds);
    rpc::FrameReader reader{.maxBytes = MaxBytes};
    append(reader, rpc::frameHeader(MaxBytes + 1) + "x");
    CHECK_FALSE(nextFrame(reader).has_value());
    CHECK(reader.failed);
    append(reader, rpc::frameHeader(1) + "x");
    CHECK_FALSE(nextFrame(reader).has_value());
}
