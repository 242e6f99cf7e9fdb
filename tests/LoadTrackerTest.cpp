#include "control/LoadTracker.h"
#include "control/Assignment.h"

#include <catch2/catch.hpp>

#include <map>

using namespace bergamotweir;
using namespace bergamotweir::control;
using namespace std::chrono_literals;

namespace {

constexpr BootTime Start{100s};
/** Seconds that each upstream works on a request: two fast, two slow, as VMs of one service differ. */
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

/** @return the largest part of an upstream's slots that is in use when the slices are spread over the members */
double busiest(const std::vector<Member> &members)
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
    double most = 0;
    for (std::size_t number = 0; number < WorkSeconds.size(); ++number) {
        const double inProgress = load[static_cast<std::uint32_t>(number)] * RequestsPerSecond * WorkSeconds.at(number);
        most = std::max(most, inProgress / Slots);
    }
    return most;
}

} // namespace

/*
 * Six upstreams share the keys of a service, two of them on VMs that take more than twice as long. With as many
 * requests for each, the slow ones turn callers away while the fast ones have free slots: at 300 requests a second they
 * would need 1.07 times their slots. Shared by the speed seen, the fullest needs 0.71 of its slots.
 */
TEST_CASE("loads: keys follow the speed of upstreams, so that no slow one is over its slots while others are free")
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
    CHECK(busiest(equal) > 1);
    CHECK(busiest(bySpeed) < 0.8);
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
 * Upstreams come and go by the thousand while a leader leads. Times of those that are gone would fill its memory, and
 * one that comes back after an hour would be judged by what it was then.
 */
TEST_CASE("loads: an upstream that answers nothing for a minute is forgotten")
{
    LoadTracker loads;
    for (std::uint32_t upstream = 0; upstream < 1000; ++upstream) {
        loads.report(reportOf(upstream, 0.1F, 10), Start);
    }
    loads.report(reportOf(7, 0.1F, 10), Start + 50s);
    REQUIRE(loads.relativeSpeeds("seats", Start + 59s).size() == 1000);
    const auto left = loads.relativeSpeeds("seats", Start + 61s);
    REQUIRE(left.size() == 1);
    REQUIRE(left.at(7) == Approx(1));
}
