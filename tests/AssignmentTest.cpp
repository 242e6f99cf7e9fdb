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

std::vector<LoadedSlice> even(std::size_t count)
{
    std::vector<LoadedSlice> all;
    for (std::size_t number = 0; number < count; ++number) {
        all.push_back({number * 1000, 0, 1.0 / static_cast<double>(count), false});
    }
    return all;
}

double carryOut(std::vector<LoadedSlice> &slices, const std::vector<SliceMove> &moves)
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

TEST_CASE("slices without an owner are spread by weight, and a second look moves nothing")
{
    std::vector<LoadedSlice> slices = even(128);
    std::vector<Member> all = members(4);
    all[0].weight = 5;
    carryOut(slices, assign(all, slices));
    REQUIRE(imbalance(all, slices) < 1.05);
    REQUIRE(assign(all, slices).empty());
}

// A member joins or leaves; hash modulo members would move nearly every key, and each move is time in which a key is
// not served. Only the load that the tolerance demands may move.
TEST_CASE("a member lost, joined or reweighted moves little more than the least possible")
{
    std::vector<LoadedSlice> slices = even(std::size_t{12} * 32);
    std::vector<Member> all = members(12);
    carryOut(slices, assign(all, slices));
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
    const double least = minChurn(all, slices);
    const double moved = carryOut(slices, assign(all, slices));
    REQUIRE(least > 0);
    REQUIRE(moved <= least * 1.1);
    REQUIRE(imbalance(all, slices) < 1.1);
}

TEST_CASE("a slice on the move stays where it is")
{
    std::vector<LoadedSlice> slices = even(8);
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
        std::vector<LoadedSlice> slices = even(1 + random(60));
        for (LoadedSlice &slice : slices) {
            slice.owner = random(14);
            slice.load = random(100);
        }
        carryOut(slices, assign(all, slices));
        for (const LoadedSlice &slice : slices) {
            REQUIRE(slice.owner >= 1);
            REQUIRE(slice.owner <= memberCount);
        }
        const double before = imbalance(all, slices);
        carryOut(slices, assign(all, slices));
        REQUIRE(imbalance(all, slices) <= before + 1e-9);
    }
}
