#include "agent/ProcessIdentity.h"

#include <catch2/catch.hpp>

using namespace bergamotweir::agent;
using namespace std::chrono_literals;

namespace {

const ProcessIdentity Known{.service = "seats", .instance = "i-1", .address = "10.0.0.9:80", .startedAt = 500ms};

HeartbeatSender senderWith(const std::string &service,
                           const std::string &instance,
                           const std::string &address,
                           std::chrono::milliseconds startedAt)
{
    return classifySender(Known,
                          {.service = service, .instance = instance, .address = address, .startedAt = startedAt});
}

} // namespace

// Guards against a hold that ends on the word of an earlier process, or of a heartbeat that no process can have sent.
TEST_CASE("a heartbeat's sender is told from the known process by instance, address and start")
{
    CHECK(senderWith("seats", "i-1", "10.0.0.9:80", 500ms) == HeartbeatSender::Same);
    CHECK(senderWith("seats", "i-1", "10.0.0.9:80", 501ms) == HeartbeatSender::LaterLife);
    CHECK(senderWith("rooms", "i-1", "10.0.0.9:80", 501ms) == HeartbeatSender::LaterLife);
    CHECK(senderWith("seats", "i-2", "10.0.0.9:80", 501ms) == HeartbeatSender::Successor);
    CHECK(senderWith("rooms", "i-2", "10.0.0.9:80", 501ms) == HeartbeatSender::Successor);
    CHECK(senderWith("seats", "i-1", "10.0.0.9:80", 499ms) == HeartbeatSender::Earlier);
    CHECK(senderWith("rooms", "i-2", "10.0.0.9:80", 499ms) == HeartbeatSender::Earlier);
    CHECK(senderWith("rooms", "i-1", "10.0.0.9:80", 500ms) == HeartbeatSender::Contradictory);
    CHECK(senderWith("seats", "i-2", "10.0.0.9:80", 500ms) == HeartbeatSender::Contradictory);
    CHECK(senderWith("seats", "i-1", "10.0.0.8:80", 500ms) == HeartbeatSender::Contradictory);
    CHECK(senderWith("seats", "i-1", "10.0.0.8:80", 700ms) == HeartbeatSender::Unrelated);
    CHECK(senderWith("seats", "i-2", "10.0.0.8:80", 500ms) == HeartbeatSender::Unrelated);
}
