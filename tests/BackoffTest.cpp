#include "base/Backoff.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace std::chrono_literals;

TEST_CASE("backoff: delays double up to their maximum, each time with jitter over the upper half")
{
    const BackoffSettings settings{.first = 20ms, .max = 100ms};
    pcg32 random(7);
    const std::array<std::chrono::milliseconds, 5> maxDelays{20ms, 40ms, 80ms, 100ms, 100ms};
    for (unsigned failures = 1; failures <= maxDelays.size(); ++failures) {
        CHECK(exponentialDelay(settings, failures - 1) == maxDelays[failures - 1]);
        for (int draw = 0; draw < 100; ++draw) {
            const auto delay = nextBackoff(settings, failures, random);
            CHECK(delay <= maxDelays[failures - 1]);
            CHECK(delay >= maxDelays[failures - 1] / 2);
        }
    }
    CHECK(exponentialDelay(settings, 1000000) == 100ms);
}
