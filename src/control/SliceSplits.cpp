#include "control/SliceSplits.h"

#include "control/SliceMap.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace bergamotweir::control {

namespace {

constexpr std::uint64_t LastHash = std::numeric_limits<std::uint64_t>::max();

/** @return the last hash of a slice */
std::uint64_t lastHashOf(const SliceMap &map, SliceMap::Slices::const_iterator slice)
{
    const auto next = std::next(slice);
    return next == map.slices().end() ? LastHash : next->first - 1;
}

/** @return true for a slice too narrow to split: one unit of the alignment, such as the slice of a hot key */
bool isIndivisible(const SliceMap &map, SliceMap::Slices::const_iterator slice, std::uint64_t alignment)
{
    return lastHashOf(map, slice) - slice->first < alignment;
}

void halveWidest(const SliceMap &map,
                 const std::set<std::uint64_t> &moving,
                 std::uint64_t alignment,
                 SliceSplits &splits)
{
    double widest = 0;
    for (auto slice = map.slices().begin(); slice != map.slices().end(); ++slice) {
        widest = std::max(widest, map.width(slice));
    }
    // Slices beside the slice of a hot key are a little narrower than other slices of their size and are halved with
    // them.
    constexpr double MinRelativeWidth = 0.75;
    for (auto slice = map.slices().begin(); slice != map.slices().end(); ++slice) {
        if (map.width(slice) < widest * MinRelativeWidth || isIndivisible(map, slice, alignment)
            || moving.contains(slice->first)) {
            continue;
        }
        const std::uint64_t half = (lastHashOf(map, slice) - slice->first) / 2 + 1;
        splits.added.push_back(slice->first + half / alignment * alignment);
    }
}

void isolateHotKey(const SliceMap &map,
                   std::uint64_t hash,
                   const std::set<std::uint64_t> &moving,
                   std::uint64_t alignment,
                   SliceSplits &splits)
{
    const auto slice = map.at(hash);
    if (moving.contains(slice->first) || isIndivisible(map, slice, alignment)) {
        return;
    }
    if (slice->first != hash) {
        splits.added.push_back(hash);
    }
    if (lastHashOf(map, slice) - hash >= alignment) {
        splits.added.push_back(hash + alignment);
    }
}

/**
 * Merges slices of keys that are no longer hot, and the slice after each, back into the preceding slice.
 * @param maxMergedWidth the slice after is not merged where the result would be wider than any slice before the split
 */
void mergeCold(const SliceMap &map,
               double maxMergedWidth,
               const std::vector<std::uint64_t> &hot,
               const std::set<std::uint64_t> &moving,
               std::uint64_t alignment,
               SliceSplits &splits)
{
    for (auto slice = map.slices().begin(); slice != map.slices().end(); ++slice) {
        if (slice == map.slices().begin() || !isIndivisible(map, slice, alignment)) {
            continue;
        }
        const auto before = std::prev(slice);
        const bool isHot = std::binary_search(hot.begin(), hot.end(), slice->first);
        const bool isMoving = moving.contains(slice->first) || moving.contains(before->first);
        if (isHot || isMoving || isIndivisible(map, before, alignment) || before->second.owner != slice->second.owner) {
            continue;
        }
        splits.merged.push_back(slice->first);
        const auto after = std::next(slice);
        if (after != map.slices().end() && after->second.owner == slice->second.owner && !moving.contains(after->first)
            && !isIndivisible(map, after, alignment) && map.width(before) + map.width(after) <= maxMergedWidth) {
            splits.merged.push_back(after->first);
        }
    }
}

} // namespace

SliceSplits planSplits(const SliceMap &map,
                       std::size_t wanted,
                       const std::vector<std::uint64_t> &hot,
                       const std::set<std::uint64_t> &moving,
                       std::uint64_t alignment)
{
    SliceSplits splits;
    if (map.slices().size() < std::min(wanted, MaxSlices)) {
        halveWidest(map, moving, alignment, splits);
        return splits;
    }
    if (map.slices().size() + 2 * hot.size() <= MaxSlices) {
        for (const std::uint64_t hash : hot) {
            isolateHotKey(map, hash, moving, alignment, splits);
        }
    }
    std::sort(splits.added.begin(), splits.added.end());
    splits.added.erase(std::unique(splits.added.begin(), splits.added.end()), splits.added.end());
    constexpr double RoundingMargin = 1 + 1e-9;
    mergeCold(
        map, RoundingMargin / static_cast<double>(std::max<std::size_t>(wanted, 1)), hot, moving, alignment, splits);
    return splits;
}

} // namespace bergamotweir::control
