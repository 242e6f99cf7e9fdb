#include "control/LoadTracker.h"
#include "control/Assignment.h"

#include <catch2/catch.hpp>

#include <map>

using namespace bergamotweir;
using namespace bergamotweir::control;
using namespace std::chrono_literals;

namespace {

constexpr BootTime Start{100s};
/** Work time per request of each upstream in seconds: four fast and two slow, as VMs of one service differ in speed. */
constexpr std::array<float, 6> WorkSeconds{0.112F, 0.112F, 0.256F, 0.112F, 0.112F, 0.256F};
constexpr double Slots = 12;
constexpr double RequestsPerSecond = 300;
constexpr std::size_t SlicesPerUpstream = 16;

wire::Renew reportOf(std::uint32_t upstream, float seconds, std::uint32_t answers)
{
    wire::Renew renew;
    wire::UpstreamWork &work = *renew.add_work();
    work.set_service("seats");
    work.set_upstream(upstream);
    work.set_mean_seconds(seconds);
    work.set_answers(answers);
    return renew;
}

/** @return the highest fraction of an upstream's slots in use once slices are spread over the members */
double maxSlotUse(const std::vector<Member> &members)
{
    std::vector<LoadedSlice> slices;
    const std::size_t count = SlicesPerUpstream * members.size();
    for (std::size_t number = 0; number < count; ++number) {
        slices.push_back({.begin = number, .owner = 0, .load = 1.0 / static_cast<double>(count), .moving = false});
    }
    std::map<std::uint32_t, double> load;
    for (const SliceMove &move : assign(members, slices, 0.05)) {
        load[move.to] += 1.0 / static_cast<double>(count);
    }
    double maximum = 0;
    for (std::size_t number = 0; number < WorkSeconds.size(); ++number) {
        const double inProgress = load[static_cast<std::uint32_t>(number)] * RequestsPerSecond * WorkSeconds.at(number);
        maximum = std::max(maximum, inProgress / Slots);
    }
    return maximum;
}

} // namespace

/*
 * Six upstreams share the keys of a service, two of them on VMs that take more than twice as long. With equal request
 * rates the slow ones refuse requests while the fast ones have free slots: at 300 requests per second they would need
 * 1.07 times their slots. With loads by measured speed, the most loaded one needs 0.71 of its slots.
 */
TEST_CASE("loads: keys follow the speed of upstreams, so that no slow one exceeds its slots while others are free")
{
    LoadTracker loads;
    std::vector<Member> equal;
    std::vector<Member> bySpeed;
    for (std::uint32_t upstream = 0; upstream < WorkSeconds.size(); ++upstream) {
        loads.report(reportOf(upstream, WorkSeconds.at(upstream), 50), Start);
    }
    for (std::uint32_t upstream = 0; upstream < WorkSeconds.size(); ++upstream) {
        equal.push_back({upstream, 1});
        bySpeed.push_back({upstream, loads.relativeSpeeds("seats", Start).at(upstream)});
    }
    CHECK(maxSlotUse(equal) > 1);
    CHECK(maxSlotUse(bySpeed) < 0.8);
}

TEST_CASE("loads: an upstream's speed is known from its first report on, follows reports, and is bounded")
{
    LoadTracker loads;
    REQUIRE(loads.relativeSpeeds("seats", Start).empty());
    loads.report(reportOf(1, 0.1F, 60), Start);
    loads.report(reportOf(2, 0.1F, 60), Start);
    REQUIRE(loads.relativeSpeeds("seats", Start).at(1) == Approx(1));
    REQUIRE_FALSE(loads.relativeSpeeds("seats", Start).contains(3));
    loads.report(reportOf(2, 0.3F, 60), Start + 1s);
    REQUIRE(loads.relativeSpeeds("seats", Start + 1s).at(2) == Approx(2.0 / 3));
    REQUIRE(loads.relativeSpeeds("seats", Start + 1s).at(1) == Approx(4.0 / 3));
    loads.report(reportOf(2, 1000.0F, 6000), Start + 2s);
    REQUIRE(loads.relativeSpeeds("seats", Start + 2s).at(2) == Approx(0.3));
    REQUIRE(loads.relativeSpeeds("seats", Start + 2s).at(1) == Approx(2).epsilon(0.01));
    loads.report(reportOf(1, 0, 10), Start + 3s);
    REQUIRE(loads.relativeSpeeds("seats", Start + 3s).at(1) == Approx(2).epsilon(0.01));
}

/*
 * Thousands of upstreams start and stop during one leader's term. Without expiry, work times of stopped ones would fill
 * its memory, and one that restarts after an hour would get its load by an outdated work time.
 */
TEST_CASE("loads: the work time of an upstream that answers nothing for a minute is removed")
{
    LoadTracker loads;
    for (std::uint32_t upstream = 0; upstream < 1000; ++upstream) {
        loads.report(reportOf(upstream, 0.1F, 10), Start);
    }
    loads.report(reportOf(7, 0.1F, 10), Start + 50s);
    REQUIRE(loads.relativeSpeeds("seats", Start + 59s).size() == 1000);
    const auto remaining = loads.relativeSpeeds("seats", Start + 61s);
    REQUIRE(remaining.size() == 1);
    REQUIRE(remaining.at(7) == Approx(1));
}
