#pragma once

#include "control/SliceSplits.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace bergamotweir::control {

/** A slice that carries more than one upstream should. */
struct HeavySlice {
    std::uint64_t begin = 0;
    /** How many parts of equal width it is worth. */
    std::size_t pieces = 2;
};

/** What is known of a service's slices when they are cut by load. */
struct RangeLoads {
    std::vector<HeavySlice> heavy;
    /** First hashes of slices that carry a noticeable load. */
    std::set<std::uint64_t> warm;
};

/**
 * Cuts slices by their load.
 *
 * The load that it answers: a range of neighbouring keys turns busy within a second, as several upstreams could serve
 * it and one owns it. Cutting out the busiest keys one by one takes longer than such a range stays busy; cut into equal
 * parts at once, it can be shared out in one round of moves. Parts that have cooled are merged again.
 * @param wanted number of slices that a service has without any hot range; at most MostCutFactor times as many are made
 * @param moving first hashes of slices on the move; they are neither cut nor merged
 * @param grain slices begin at multiples of it
 */
SliceSplits planRangeSplits(const SliceMap &map,
                            const RangeLoads &loads,
                            std::size_t wanted,
                            const std::set<std::uint64_t> &moving,
                            std::uint64_t grain);

inline constexpr std::size_t MostCutFactor = 3;

/** @return whether a slice is a part that was cut off by load, so narrow is it */
bool isFragment(double width, std::size_t wanted);

} // namespace bergamotweir::control
