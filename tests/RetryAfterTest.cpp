#include "agent/RetryAfter.h"

#include <catch2/catch.hpp>

#include <set>

using namespace bergamotweir;
using namespace bergamotweir::agent;
using namespace std::chrono_literals;

// Guards against a retry-after that is too short for the loss of an owner: a caller that retries after 0.2 s is refused
// again and gives up half a second before the next owner serves the key.
TEST_CASE(
    "retry-after: the delay is longer without an owner than after an overload, jittered, and within callers' deadlines")
{
    pcg32 random(3);
    std::set<std::chrono::milliseconds> overloadedDelays;
    std::set<std::chrono::milliseconds> noOwnerDelays;
    for (int draw = 0; draw < 1000; ++draw) {
        overloadedDelays.insert(chooseRetryAfter(AttemptOutcome::Overloaded, random));
        noOwnerDelays.insert(chooseRetryAfter(AttemptOutcome::NotOwner, random));
    }
    // A caller with a deadline of two seconds waits for at most a third of it.
    CHECK(*noOwnerDelays.rbegin() < 667ms);
    CHECK(*noOwnerDelays.begin() >= 400ms);
    CHECK(*overloadedDelays.rbegin() <= 500ms);
    CHECK(overloadedDelays.size() > 200);
    CHECK(noOwnerDelays.size() > 150);
}
