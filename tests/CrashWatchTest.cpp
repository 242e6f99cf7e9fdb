#include "agent/CrashWatch.h"

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

wire::ReportCrash crashWith(CrashWatch &watch, const std::set<std::uint64_t> &broken, const char *incarnation)
{
    wire::ReportCrash report = crashed(watch, broken, incarnation, 1s);
    for (const std::uint64_t value : broken) {
        ended(watch, value, false);
    }
    return report;
}

} // namespace

// A popular timetable lookup is refused everywhere: it was in progress at both crashes, as it always is.
TEST_CASE("what upstreams have answered before is not suspected")
{
    CrashWatch watch;
    began(watch, Popular);
    ended(watch, Popular, true);
    for (const std::uint64_t value : {Poison, Innocent, Popular}) {
        began(watch, value);
    }
    REQUIRE(suspectsOf(crashWith(watch, {Poison, Innocent, Popular}, "i1")) == std::set{Poison, Innocent});
}

// An enrolment is refused everywhere as a crasher: it was resent together with the real one, beside which it had been
// in progress at the first crash, and was in progress again at the second.
TEST_CASE("suspects run one at a time, so that a second crash blames one alone")
{
    CrashWatch watch;
    began(watch, Poison);
    began(watch, Innocent);
    crashWith(watch, {Poison, Innocent}, "i1");
    REQUIRE(mayRun(watch, Innocent));
    began(watch, Innocent);
    REQUIRE_FALSE(mayRun(watch, Poison));
    REQUIRE(mayRun(watch, Popular));
    ended(watch, Innocent, true);
    REQUIRE(mayRun(watch, Poison));
    began(watch, Poison);
    began(watch, Popular);
    REQUIRE(mayRun(watch, Innocent));
    REQUIRE(suspectsOf(crashWith(watch, {Poison, Popular}, "i2")) == std::set{Poison});
}

TEST_CASE("fingerprints tell apart what differs in one part only, and memory of them is bounded")
{
    REQUIRE(fingerprint({"s", "k", "GET", "/a", ""}) == fingerprint({"s", "k", "GET", "/a", ""}));
    REQUIRE(fingerprint({"s", "ka", "GET", "/a", ""}) != fingerprint({"sk", "a", "GET", "/a", ""}));
    REQUIRE(fingerprint({"s", "k", "GET", "/a", "b"}) != fingerprint({"s", "k", "GET", "/ab", ""}));
    RecentFingerprints recent;
    recent.most = 2;
    for (const std::uint64_t value : {Poison, Innocent, Popular}) {
        remember(recent, value);
    }
    REQUIRE_FALSE(contains(recent, Poison));
    REQUIRE(contains(recent, Innocent));
    REQUIRE(recent.places.size() == 2);
}
