#include "base/Backoff.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace std::chrono_literals;

TEST_CASE("backoff: pauses double up to their bound, each within the upper half of its time")
{
    const BackoffSettings settings{.first = 20ms, .max = 100ms};
    pcg32 random(7);
    const std::array<std::chrono::milliseconds, 5> longest{20ms, 40ms, 80ms, 100ms, 100ms};
    for (unsigned failures = 1; failures <= longest.size(); ++failures) {
        CHECK(exponentialDelay(settings, failures - 1) == longest[failures - 1]);
        for (int draw = 0; draw < 100; ++draw) {
            const auto pause = nextBackoff(settings, failures, random);
            CHECK(pause <= longest[failures - 1]);
            CHECK(pause >= longest[failures - 1] / 2);
        }
    }
    CHECK(exponentialDelay(settings, 1000000) == 100ms);
}
