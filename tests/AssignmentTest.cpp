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
