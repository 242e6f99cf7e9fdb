#include "agent/HoldEnd.h"

#include <catch2/catch.hpp>

using namespace bergamotweir::agent;

// Guards against a hold that ends while the upstream's process may still run.
TEST_CASE("a health check ends a hold only if the connection was refused in time")
{
    CHECK(holdEndShownByProbe(ProbeEnd::Refused, false) == HoldEnd::ConnectionRefused);
    CHECK_FALSE(holdEndShownByProbe(ProbeEnd::Refused, true));
    for (const ProbeEnd end : {ProbeEnd::Answered, ProbeEnd::NotSent, ProbeEnd::Unanswered}) {
        CHECK_FALSE(holdEndShownByProbe(end, false));
        CHECK_FALSE(holdEndShownByProbe(end, true));
    }
}

// Guards against a hold that ends on the word of another writer.
TEST_CASE("a heartbeat ends a hold only if it is of a later process, and another instance answers at the address")
{
    CHECK(holdEndShownByHeartbeat(HeartbeatSender::LaterLife, "i-1", "") == HoldEnd::LaterLife);
    CHECK(holdEndShownByHeartbeat(HeartbeatSender::Successor, "i-2", "i-2") == HoldEnd::Successor);
    CHECK_FALSE(holdEndShownByHeartbeat(HeartbeatSender::Successor, "i-2", "i-1"));
    CHECK_FALSE(holdEndShownByHeartbeat(HeartbeatSender::Successor, "i-2", ""));
    for (const HeartbeatSender sender : {HeartbeatSender::Unrelated,
                                         HeartbeatSender::Same,
                                         HeartbeatSender::Earlier,
                                         HeartbeatSender::Contradictory}) {
        CHECK_FALSE(holdEndShownByHeartbeat(sender, "i-2", "i-2"));
    }
}
