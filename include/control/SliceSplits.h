#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace bergamotweir::control {

class SliceMap;

/** Splits and merges of slices, which change no owner. */
struct SliceSplits {
    /** First hashes of new slices. */
    std::vector<std::uint64_t> added;
    /** First hashes of slices to merge into the preceding slice. */
    std::vector<std::uint64_t> merged;

    bool empty() const
    {
        return this->added.empty() && this->merged.empty();
    }
};

/** Maximum number of slices of one service, which an agent can hold and a snapshot can carry. */
inline constexpr std::size_t MaxSlices = 65536;

/**
 * Decides how the slices of a service are split and merged.
 * Halves all of the widest slices until there are as many as wanted; gives each hot key a slice of its own; merges such
 * a slice back once the key is no longer hot and the adjacent slice has the same owner.
 * @param wanted number of slices to reach, bounded by MaxSlices
 * @param hot hashes of hot keys, ascending
 * @param moving first hashes of slices that are being moved; they are neither split nor merged
 * @param alignment slices begin at multiples of it
 */
SliceSplits planSplits(const SliceMap &map,
                       std::size_t wanted,
                       const std::vector<std::uint64_t> &hot,
                       const std::set<std::uint64_t> &moving,
                       std::uint64_t alignment = 1);

} // namespace bergamotweir::control
