#include "control/RangeSplits.h"

#include "control/SliceMap.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace bergamotweir::control {

namespace {

/** Slices made by halving are at least half as wide as wanted; narrower than this is a part cut off by load. */
constexpr double FragmentWidth = 0.3;

std::uint64_t widthInGrains(const SliceMap &map, SliceMap::Slices::const_iterator slice, std::uint64_t grain)
{
    const auto next = std::next(slice);
    const std::uint64_t last = next == map.slices().end() ? std::numeric_limits<std::uint64_t>::max() : next->first - 1;
    return (last - slice->first) / grain + 1;
}

void cut(SliceMap::Slices::const_iterator slice,
         std::uint64_t grains,
         std::size_t pieces,
         std::uint64_t grain,
         SliceSplits &splits)
{
    const std::uint64_t count = std::min<std::uint64_t>(pieces, grains);
    for (std::uint64_t number = 1; number < count; ++number) {
        // In this order no product overflows: a service without numbered keys has 2^64 grains.
        const std::uint64_t at = grains / count * number + grains % count * number / count;
        splits.added.push_back(slice->first + at * grain);
    }
}

void mergeFragments(const SliceMap &map,
                    const RangeLoads &loads,
                    std::size_t wanted,
                    const std::set<std::uint64_t> &moving,
                    SliceSplits &splits)
{
    constexpr double Rounding = 1 + 1e-9;
    const double widest = Rounding / static_cast<double>(std::max<std::size_t>(wanted, 1));
    const auto isCold = [&](SliceMap::Slices::const_iterator slice) {
        return !loads.warm.contains(slice->first) && !moving.contains(slice->first);
    };
    bool beforeMerged = false;
    for (auto slice = map.slices().begin(); slice != map.slices().end(); ++slice) {
        if (slice == map.slices().begin()) {
            continue;
        }
        const auto before = std::prev(slice);
        const bool fragments = isFragment(map.width(slice), wanted) || isFragment(map.width(before), wanted);
        const bool fits = map.width(before) + map.width(slice) <= widest;
        const bool merges = !beforeMerged && fragments && fits && before->second.owner == slice->second.owner
                            && isCold(before) && isCold(slice);
        if (merges) {
            splits.merged.push_back(slice->first);
        }
        beforeMerged = merges;
    }
}

} // namespace

bool isFragment(double width, std::size_t wanted)
{
    return width * static_cast<double>(wanted) < FragmentWidth;
}

SliceSplits planRangeSplits(const SliceMap &map,
                            const RangeLoads &loads,
                            std::size_t wanted,
                            const std::set<std::uint64_t> &moving,
                            std::uint64_t grain)
{
    SliceSplits splits;
    const std::size_t most = std::min(MostCutFactor * wanted, MostSlices);
    for (const HeavySlice &heavy : loads.heavy) {
        const auto slice = map.at(heavy.begin);
        const std::uint64_t grains = widthInGrains(map, slice, grain);
        const bool room = map.slices().size() + splits.added.size() + heavy.pieces <= most;
        if (slice->first == heavy.begin && room && grains > 1 && !moving.contains(heavy.begin)) {
            cut(slice, grains, heavy.pieces, grain, splits);
        }
    }
    std::sort(splits.added.begin(), splits.added.end());
    if (splits.added.empty()) {
        mergeFragments(map, loads, wanted, moving, splits);
    }
    return splits;
}

} // namespace bergamotweir::control
