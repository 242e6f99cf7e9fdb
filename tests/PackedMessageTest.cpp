#include "rpc/PackedMessage.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;

namespace {

wire::ControlMessage largeUpdate()
{
    wire::ControlMessage message;
    for (int number = 0; number < 1000; ++number) {
        message.mutable_update()->add_upstreams()->set_name("upstream-" + std::to_string(number));
    }
    return message;
}

} // namespace

TEST_CASE("packed message: it is smaller, and unpacks to what was packed")
{
    const wire::ControlMessage message = largeUpdate();
    const auto packed = rpc::pack(message);
    REQUIRE(packed != nullptr);
    REQUIRE(packed->ByteSizeLong() < message.ByteSizeLong() / 3);
    wire::ControlMessage read = *packed;
    REQUIRE(rpc::unpack(read));
    REQUIRE(read.SerializeAsString() == message.SerializeAsString());
    wire::ControlMessage plain = message;
    REQUIRE(rpc::unpack(plain));
    REQUIRE(plain.SerializeAsString() == message.SerializeAsString());
}

TEST_CASE("packed message: a truncated, forged, oversized or nested one is refused")
{
    const wire::ControlMessage packed = *rpc::pack(largeUpdate());
    wire::ControlMessage truncated = packed;
    truncated.mutable_packed()->mutable_compressed()->resize(truncated.packed().compressed().size() / 2);
    REQUIRE_FALSE(rpc::unpack(truncated));
    wire::ControlMessage shorter = packed;
    shorter.mutable_packed()->set_bytes(10);
    REQUIRE_FALSE(rpc::unpack(shorter));
    wire::ControlMessage oversized = packed;
    oversized.mutable_packed()->set_bytes(4000000000U);
    REQUIRE_FALSE(rpc::unpack(oversized));
    wire::ControlMessage nested = *rpc::pack(packed);
    REQUIRE_FALSE(rpc::unpack(nested));
}
