#include "control/SliceSplits.h"
#include "control/Assignment.h"
#include "control/LoadTracker.h"
#include "control/SliceMap.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace bergamotweir;
using namespace bergamotweir::control;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t HotKeyHash = 0x1234567890abcdef;

/** @return four slices, all owned by upstream 7 */
SliceMap ownedSlices()
{
    SliceMap map = SliceMap::uniform(4);
    const SliceMap::Slices slices = map.slices();
    for (const auto &[begin, holding] : slices) {
        wire::SliceOwner owner;
        owner.set_begin(begin);
        owner.set_owner(7);
        owner.set_epoch(1);
        REQUIRE(map.put(owner));
    }
    return map;
}

void applySplits(SliceMap &map, const SliceSplits &splits)
{
    for (const std::uint64_t begin : splits.added) {
        wire::SliceOwner slice = toWire(map.at(begin));
        slice.set_begin(begin);
        REQUIRE(map.put(slice));
    }
    for (const std::uint64_t begin : splits.merged) {
        REQUIRE(map.merge(begin));
    }
}

wire::Renew report(std::uint64_t begin, float rate, float hotRate)
{
    wire::Renew renew;
    wire::SliceLoad &load = *renew.add_loads();
    load.set_service("catalogue");
    load.set_begin(begin);
    load.set_rate(rate);
    wire::HotKey &key = *renew.add_hot_keys();
    key.set_service("catalogue");
    key.set_hash(HotKeyHash);
    key.set_rate(hotRate);
    return renew;
}

} // namespace

TEST_CASE("slices are halved until there are enough, and none is split while it moves")
{
    SliceMap map = ownedSlices();
    applySplits(map, planSplits(map, 10, {}, {0}));
    REQUIRE(map.slices().size() == 7);
    applySplits(map, planSplits(map, 10, {}, {}));
    REQUIRE(map.slices().size() == 8);
    applySplits(map, planSplits(map, 10, {}, {}));
    REQUIRE(map.slices().size() == 16);
    REQUIRE(planSplits(map, 10, {}, {}).empty());
    for (auto slice = map.slices().begin(); slice != map.slices().end(); ++slice) {
        REQUIRE(map.width(slice) == Approx(1.0 / 16));
        REQUIRE(slice->second == SliceHolding{7, 1});
    }
}

TEST_CASE("a hot key gets a slice of its own, which is merged once the key is no longer hot")
{
    SliceMap map = ownedSlices();
    applySplits(map, planSplits(map, 4, {HotKeyHash}, {}));
    REQUIRE(map.slices().size() == 6);
    REQUIRE(map.at(HotKeyHash)->first == HotKeyHash);
    REQUIRE(map.at(HotKeyHash + 1)->first == HotKeyHash + 1);
    REQUIRE(planSplits(map, 4, {HotKeyHash}, {}).empty());
    SECTION("cooled beside its old neighbours")
    {
        applySplits(map, planSplits(map, 4, {}, {}));
        REQUIRE(map.slices().size() == 4);
        REQUIRE(map.at(HotKeyHash)->second.epoch > 1);
    }
    SECTION("cooled, but owned by another upstream or on the move")
    {
        REQUIRE(planSplits(map, 4, {}, {HotKeyHash}).merged.empty());
        wire::SliceOwner elsewhere;
        elsewhere.set_begin(HotKeyHash);
        elsewhere.set_owner(8);
        elsewhere.set_epoch(2);
        REQUIRE(map.put(elsewhere));
        REQUIRE(planSplits(map, 4, {}, {}).empty());
    }
}

TEST_CASE("loads count once enough was measured, and hot keys expire when nobody reports them")
{
    const SliceMap map = ownedSlices();
    LoadTracker loads;
    BootTime now{1000s};
    std::vector<LoadedSlice> slices;
    for (const auto &[begin, holding] : map.slices()) {
        slices.push_back({begin, holding.owner, 0, false});
    }
    loads.report(report(0, 10, 5), now);
    loads.distributeLoad("catalogue", map, slices);
    REQUIRE(slices[0].load == Approx(0.25));
    REQUIRE(loads.hotKeys("catalogue", 0.1, now).empty());
    for (int beat = 0; beat < 100; ++beat) {
        loads.report(report(0, 10000, 4000), now);
    }
    loads.distributeLoad("catalogue", map, slices);
    REQUIRE(slices[0].load > 0.6);
    REQUIRE(slices[1].load == Approx(0.05));
    REQUIRE(loads.hotKeys("catalogue", 0.1, now) == std::vector<std::uint64_t>{HotKeyHash});
    REQUIRE(loads.hotKeys("catalogue", 0.5, now).empty());
    REQUIRE(loads.hotKeys("catalogue", 0.1, now + 11s).empty());
}

// Guards against slices split for chance: with thousands of keys and hundreds of upstreams, two requests for one key
// within a second are a large share of an upstream's load.
TEST_CASE("loads: a key with a few requests a second is not hot, however small an upstream's share is")
{
    LoadTracker loads;
    const BootTime now{1000s};
    for (int beat = 0; beat < 20; ++beat) {
        loads.report(report(0, 1600, 2), now);
    }
    CHECK(loads.hotKeys("catalogue", 0.0007, now).empty());
    loads.report(report(0, 1600, 6), now);
    CHECK(loads.hotKeys("catalogue", 0.0007, now).size() == 1);
}

// One upstream refuses every second request while adjacent keys are busy for five seconds, although other upstreams
// have free slots. With too much smoothing the load had counted only after ten reports, one per second.
TEST_CASE("loads: most of what a range that becomes busy carries counts within three reports")
{
    const SliceMap map = ownedSlices();
    LoadTracker loads;
    std::vector<LoadedSlice> slices;
    for (const auto &[begin, holding] : map.slices()) {
        slices.push_back({begin, holding.owner, 0, false});
    }
    const auto reportRates = [&](float first, float others) {
        wire::Renew renew;
        for (const LoadedSlice &slice : slices) {
            wire::SliceLoad &load = *renew.add_loads();
            load.set_service("catalogue");
            load.set_begin(slice.begin);
            load.set_rate(slice.begin == slices.front().begin ? first : others);
        }
        loads.report(renew, BootTime(1000s));
    };
    for (int beat = 0; beat < 20; ++beat) {
        reportRates(20, 20);
    }
    for (int beat = 0; beat < 3; ++beat) {
        reportRates(200, 20);
    }
    loads.distributeLoad("catalogue", map, slices);
    REQUIRE(slices.size() == 4);
    // Its actual share is 200 of 260, 0.77, of which most must count by then. Smoothing by a tenth of each report and
    // half of the load by width would give 0.40.
    REQUIRE(slices.front().load > 0.55);
}

TEST_CASE("splits: slices of numbered keys are split at whole keys, down to single ones")
{
    constexpr std::uint64_t Alignment = std::uint64_t{1} << 48U;
    SliceMap map = SliceMap::uniform(64, Alignment);
    for (int round = 0; round < 3; ++round) {
        applySplits(map, planSplits(map, 512, {}, {}, Alignment));
    }
    REQUIRE(map.slices().size() == 512);
    const std::uint64_t hot = 77 * Alignment;
    applySplits(map, planSplits(map, 512, {hot}, {}, Alignment));
    REQUIRE(map.slices().contains(hot));
    REQUIRE(map.slices().contains(hot + Alignment));
    REQUIRE(map.slices().size() == 514);
    REQUIRE(planSplits(map, 512, {hot}, {}, Alignment).empty());
    for (const auto &[begin, holding] : map.slices()) {
        REQUIRE(begin % Alignment == 0);
    }
}
