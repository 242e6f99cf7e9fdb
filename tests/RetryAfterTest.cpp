#include "agent/RetryAfter.h"

#include <catch2/catch.hpp>

#include <set>

using namespace bergamotweir;
using namespace bergamotweir::agent;
using namespace std::chrono_literals;

// A treasurer's browser is refused because the owner of the key has just been lost, comes back after 0.2 s, is refused
// again and gives up, half a second before the next owner serves the key.
TEST_CASE("come back: later where an owner is missing than where there is no room, within callers' patience, spread")
{
    pcg32 random(3);
    std::set<std::chrono::milliseconds> overloadedDelays;
    std::set<std::chrono::milliseconds> noOwnerDelays;
    for (int draw = 0; draw < 1000; ++draw) {
        overloadedDelays.insert(chooseRetryAfter(AttemptOutcome::Overloaded, random));
        noOwnerDelays.insert(chooseRetryAfter(AttemptOutcome::NotOwner, random));
    }
    // A third of two seconds is the longest that a caller with that deadline waits.
    CHECK(*noOwnerDelays.rbegin() < 667ms);
    CHECK(*noOwnerDelays.begin() >= 400ms);
    CHECK(*overloadedDelays.rbegin() <= 500ms);
    CHECK(overloadedDelays.size() > 200);
    CHECK(noOwnerDelays.size() > 150);
}
