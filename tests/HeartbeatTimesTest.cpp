#include "process/HeartbeatTimes.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace std::chrono_literals;

// Guards against upstreams that count as frozen, and lose their keys, between two heartbeats: an idle upstream gives no
// other sign of life, and its keys are renewed with its heartbeats alone.
TEST_CASE("heartbeat times: an idle upstream keeps its state and its keys when a heartbeat is late")
{
    // Time between the renewal that a grant depends on and the upstream's receipt of the grant.
    constexpr auto RenewalAge = 800ms;
    for (const std::chrono::milliseconds interval : {500ms, 870ms, 1500ms, 5000ms, 20000ms}) {
        CAPTURE(interval.count());
        const process::HeartbeatTimes times = process::heartbeatTimes(interval);
        CHECK(times.silence >= 2 * interval + 400ms);
        CHECK((times.lease - RenewalAge) * 100 / 102 >= interval + interval / 4);
        CHECK(times.leaseDrift >= times.lease / 25);
    }
}

TEST_CASE("heartbeat times: with heartbeats every second or two, times have a lower bound")
{
    for (const std::chrono::milliseconds interval : {200ms, 870ms, 1500ms}) {
        CHECK(process::heartbeatTimes(interval).silence == 3500ms);
        CHECK(process::heartbeatTimes(interval).lease == 4000ms);
    }
}
