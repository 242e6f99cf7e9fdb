#include "agent/CrashTracker.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace bergamotweir::agent;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Poison = 1;
constexpr std::uint64_t Innocent = 2;
constexpr std::uint64_t Popular = 3;

std::set<std::uint64_t> suspectsOf(const wire::ReportCrash &report)
{
    std::set<std::uint64_t> suspects;
    for (const wire::CrashSuspect &suspect : report.suspects()) {
        suspects.insert(suspect.fingerprint());
    }
    return suspects;
}

wire::ReportCrash crashWith(CrashTracker &tracker, const std::set<std::uint64_t> &broken, const char *incarnation)
{
    wire::ReportCrash report = recordCrash(tracker, broken, incarnation, 1s);
    for (const std::uint64_t value : broken) {
        recordEnd(tracker, value, false);
    }
    return report;
}

} // namespace

// Guards against quarantining a frequent request that was in progress at both crashes by chance.
TEST_CASE("a request that upstreams have answered before is not suspected")
{
    CrashTracker tracker;
    recordBegin(tracker, Popular);
    recordEnd(tracker, Popular, true);
    for (const std::uint64_t value : {Poison, Innocent, Popular}) {
        recordBegin(tracker, value);
    }
    REQUIRE(suspectsOf(crashWith(tracker, {Poison, Innocent, Popular}, "i1")) == std::set{Poison, Innocent});
}

// Guards against quarantining a harmless request: it was in progress together with the crashing one at the first crash,
// was resent together with it, and was in progress again at the second crash.
TEST_CASE("suspects run one at a time, so that only one is blamed for a second crash")
{
    CrashTracker tracker;
    recordBegin(tracker, Poison);
    recordBegin(tracker, Innocent);
    crashWith(tracker, {Poison, Innocent}, "i1");
    REQUIRE(canRun(tracker, Innocent));
    recordBegin(tracker, Innocent);
    REQUIRE_FALSE(canRun(tracker, Poison));
    REQUIRE(canRun(tracker, Popular));
    recordEnd(tracker, Innocent, true);
    REQUIRE(canRun(tracker, Poison));
    recordBegin(tracker, Poison);
    recordBegin(tracker, Popular);
    REQUIRE(canRun(tracker, Innocent));
    REQUIRE(suspectsOf(crashWith(tracker, {Poison, Popular}, "i2")) == std::set{Poison});
}

TEST_CASE("fingerprints differ when one part of the request differs, and their number in memory is bounded")
{
    REQUIRE(fingerprint({"s", "k", "GET", "/a", ""}) == fingerprint({"s", "k", "GET", "/a", ""}));
    REQUIRE(fingerprint({"s", "ka", "GET", "/a", ""}) != fingerprint({"sk", "a", "GET", "/a", ""}));
    REQUIRE(fingerprint({"s", "k", "GET", "/a", "b"}) != fingerprint({"s", "k", "GET", "/ab", ""}));
    RecentFingerprints recent;
    recent.capacity = 2;
    for (const std::uint64_t value : {Poison, Innocent, Popular}) {
        remember(recent, value);
    }
    REQUIRE_FALSE(contains(recent, Poison));
    REQUIRE(contains(recent, Innocent));
    REQUIRE(recent.positions.size() == 2);
}
