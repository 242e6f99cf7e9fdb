#include "control/Assignment.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <map>

using namespace bergamotweir::control;

namespace {

std::vector<Member> members(std::size_t count)
{
    std::vector<Member> all;
    for (std::size_t number = 1; number <= count; ++number) {
        all.push_back({static_cast<std::uint32_t>(number), 1.0});
    }
    return all;
}

std::vector<LoadedSlice> uniformSlices(std::size_t count)
{
    std::vector<LoadedSlice> all;
    for (std::size_t number = 0; number < count; ++number) {
        all.push_back({number * 1000, 0, 1.0 / static_cast<double>(count), false});
    }
    return all;
}

double applyMoves(std::vector<LoadedSlice> &slices, const std::vector<SliceMove> &moves)
{
    std::map<std::uint64_t, LoadedSlice *> byBegin;
    for (LoadedSlice &slice : slices) {
        byBegin[slice.begin] = &slice;
    }
    double moved = 0;
    for (const SliceMove &move : moves) {
        LoadedSlice &slice = *byBegin.at(move.begin);
        REQUIRE(slice.owner == move.from);
        slice.owner = move.to;
        moved += slice.load;
    }
    return moved;
}

} // namespace

TEST_CASE("slices without an owner are spread by weight, and a second assignment moves nothing")
{
    std::vector<LoadedSlice> slices = uniformSlices(128);
    std::vector<Member> all = members(4);
    all[0].weight = 5;
    applyMoves(slices, assign(all, slices));
    REQUIRE(imbalance(all, slices) < 1.05);
    REQUIRE(assign(all, slices).empty());
}

// A key is not served while its slice moves. Assignment by hash modulo the member count would move nearly every key
// when a member joins or leaves; only the load that the tolerance requires may move.
TEST_CASE("a member lost, joined or reweighted moves little more than the minimum load")
{
    std::vector<LoadedSlice> slices = uniformSlices(std::size_t{12} * 32);
    std::vector<Member> all = members(12);
    applyMoves(slices, assign(all, slices));
    SECTION("lost")
    {
        all.erase(all.begin() + 3);
    }
    SECTION("joined")
    {
        all.push_back({13, 1.0});
    }
    SECTION("reweighted")
    {
        all[2].weight = 0.5;
    }
    const double minimum = minChurn(all, slices);
    const double moved = applyMoves(slices, assign(all, slices));
    REQUIRE(minimum > 0);
    REQUIRE(moved <= minimum * 1.1);
    REQUIRE(imbalance(all, slices) < 1.1);
}

TEST_CASE("a slice that is being moved is not moved again")
{
    std::vector<LoadedSlice> slices = uniformSlices(8);
    for (LoadedSlice &slice : slices) {
        slice.owner = 1;
        slice.moving = true;
    }
    REQUIRE(assign(members(2), slices).empty());
}

TEST_CASE("any assignment leaves no orphan and never raises the imbalance")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        pcg32 random(seed);
        const std::uint32_t memberCount = 1 + random(12);
        std::vector<Member> all = members(memberCount);
        for (Member &member : all) {
            member.weight = 0.5 + random(6);
        }
        std::vector<LoadedSlice> slices = uniformSlices(1 + random(60));
        for (LoadedSlice &slice : slices) {
            slice.owner = random(14);
            slice.load = random(100);
        }
        applyMoves(slices, assign(all, slices));
        for (const LoadedSlice &slice : slices) {
            REQUIRE(slice.owner >= 1);
            REQUIRE(slice.owner <= memberCount);
        }
        const double before = imbalance(all, slices);
        applyMoves(slices, assign(all, slices));
        REQUIRE(imbalance(all, slices) <= before + 1e-9);
    }
}

TEST_CASE("caps lower the weights of the members over them, and leave the others as they were to one another")
{
    std::vector<Member> all = members(4);
    all[1].weight = 2;
    CHECK(capWeights(all, {}, 0.05)[0].weight == 1);
    CHECK(capWeights(all, {{.id = 3, .maxShare = 0.3}}, 0)[2].weight == 1);
    const std::vector<Member> capped = capWeights(all, {{.id = 1, .maxShare = 0.06}}, 0.2);
    CHECK(capped[0].weight == Approx(4 * 0.05 / 0.95));
    CHECK(capped[1].weight == 2);
    CHECK(capped[3].weight == 1);
    // The cap of the first leaves the second with more than its own cap.
    const std::vector<Member> both =
        capWeights(members(3), {{.id = 1, .maxShare = 0.1}, {.id = 2, .maxShare = 0.4}}, 0);
    CHECK(both[0].weight == Approx(0.2));
    CHECK(both[1].weight == Approx(0.8));
    const std::vector<Member> every =
        capWeights(members(2), {{.id = 1, .maxShare = 0.1}, {.id = 2, .maxShare = 0.3}}, 0);
    CHECK(every[1].weight == Approx(3 * every[0].weight));
}

// Guards against callers who are refused for as long as the owner of their keys states a limit below its load.
TEST_CASE("keys of a rate-limited upstream move to others, so that its callers are served, and little else moves")
{
    constexpr double Rate = 127;
    constexpr double Limit = 12.7;
    constexpr double Use = 0.8;
    const double tolerance = GENERATE(0.05, 0.8);
    const std::vector<Member> all = members(4);
    std::vector<LoadedSlice> slices = uniformSlices(128);
    applyMoves(slices, assign(all, slices));
    const auto servedShare = [&] {
        double limited = 0;
        for (const LoadedSlice &slice : slices) {
            limited += slice.owner == 1 ? slice.load : 0;
        }
        return 1 - limited + std::min(limited, Limit / Rate);
    };
    const double before = servedShare();
    const std::vector<Member> capped = capWeights(all, {{.id = 1, .maxShare = Use * Limit / Rate}}, tolerance);
    const double moved = applyMoves(slices, assign(capped, slices, tolerance));
    WARN("tolerance " << tolerance << ": served " << before << " without moves, " << servedShare() << " with; moved "
                      << moved);
    CHECK(before < 0.9);
    CHECK(servedShare() == Approx(1));
    CHECK(moved <= 0.25 - Use * Limit / Rate + 0.02);
}
