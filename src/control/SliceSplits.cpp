#include "control/SliceSplits.h"

#include "control/SliceMap.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace bergamotweir::control {

namespace {

constexpr std::uint64_t LastHash = std::numeric_limits<std::uint64_t>::max();

/** @return the last hash of a slice */
std::uint64_t lastOf(const SliceMap &map, SliceMap::Slices::const_iterator slice)
{
    const auto next = std::next(slice);
    return next == map.slices().end() ? LastHash : next->first - 1;
}

/** @return true for a slice that can't be cut: a single grain, such as one made for a hot key */
bool isSingle(const SliceMap &map, SliceMap::Slices::const_iterator slice, std::uint64_t grain)
{
    return lastOf(map, slice) - slice->first < grain;
}

void halveWidest(const SliceMap &map, const std::set<std::uint64_t> &moving, std::uint64_t grain, SliceSplits &splits)
{
    double widest = 0;
    for (auto slice = map.slices().begin(); slice != map.slices().end(); ++slice) {
        widest = std::max(widest, map.width(slice));
    }
    // Slices cut round a hot key are a little narrower than their sisters and are halved with them.
    constexpr double SameWidth = 0.75;
    for (auto slice = map.slices().begin(); slice != map.slices().end(); ++slice) {
        if (map.width(slice) < widest * SameWidth || isSingle(map, slice, grain) || moving.contains(slice->first)) {
            continue;
        }
        const std::uint64_t half = (lastOf(map, slice) - slice->first) / 2 + 1;
        splits.added.push_back(slice->first + half / grain * grain);
    }
}

void isolate(const SliceMap &map,
             std::uint64_t hash,
             const std::set<std::uint64_t> &moving,
             std::uint64_t grain,
             SliceSplits &splits)
{
    const auto slice = map.at(hash);
    if (moving.contains(slice->first) || isSingle(map, slice, grain)) {
        return;
    }
    if (slice->first != hash) {
        splits.added.push_back(hash);
    }
    if (lastOf(map, slice) - hash >= grain) {
        splits.added.push_back(hash + grain);
    }
}

/**
 * Merges single-hash slices that are no longer hot, and what follows them, back into the slice before.
 * @param widestMerged what follows is left alone where the result would be wider than any slice before the cut
 */
void mergeCooled(const SliceMap &map,
                 double widestMerged,
                 const std::vector<std::uint64_t> &hot,
                 const std::set<std::uint64_t> &moving,
                 std::uint64_t grain,
                 SliceSplits &splits)
{
    for (auto slice = map.slices().begin(); slice != map.slices().end(); ++slice) {
        if (slice == map.slices().begin() || !isSingle(map, slice, grain)) {
            continue;
        }
        const auto before = std::prev(slice);
        const bool stillHot = std::binary_search(hot.begin(), hot.end(), slice->first);
        const bool onTheMove = moving.contains(slice->first) || moving.contains(before->first);
        if (stillHot || onTheMove || isSingle(map, before, grain) || before->second.owner != slice->second.owner) {
            continue;
        }
        splits.merged.push_back(slice->first);
        const auto after = std::next(slice);
        if (after != map.slices().end() && after->second.owner == slice->second.owner && !moving.contains(after->first)
            && !isSingle(map, after, grain) && map.width(before) + map.width(after) <= widestMerged) {
            splits.merged.push_back(after->first);
        }
    }
}

} // namespace

SliceSplits planSplits(const SliceMap &map,
                       std::size_t wanted,
                       const std::vector<std::uint64_t> &hot,
                       const std::set<std::uint64_t> &moving,
                       std::uint64_t grain)
{
    SliceSplits splits;
    if (map.slices().size() < std::min(wanted, MaxSlices)) {
        halveWidest(map, moving, grain, splits);
        return splits;
    }
    if (map.slices().size() + 2 * hot.size() <= MaxSlices) {
        for (const std::uint64_t hash : hot) {
            isolate(map, hash, moving, grain, splits);
        }
    }
    std::sort(splits.added.begin(), splits.added.end());
    splits.added.erase(std::unique(splits.added.begin(), splits.added.end()), splits.added.end());
    constexpr double Rounding = 1 + 1e-9;
    mergeCooled(map, Rounding / static_cast<double>(std::max<std::size_t>(wanted, 1)), hot, moving, grain, splits);
    return splits;
}

} // namespace bergamotweir::control
