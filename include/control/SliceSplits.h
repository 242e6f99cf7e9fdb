#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace bergamotweir::control {

class SliceMap;

/** Changes of the slices themselves, which move nothing. */
struct SliceSplits {
    /** First hashes of new slices. */
    std::vector<std::uint64_t> added;
    /** First hashes of slices to merge into the one before. */
    std::vector<std::uint64_t> merged;

    bool empty() const
    {
        return this->added.empty() && this->merged.empty();
    }
};

/** Most slices of one service: what an agent can hold and a snapshot carry. */
inline constexpr std::size_t MaxSlices = 65536;

/**
 * Decides how the slices of a service should be cut.
 * Halves all of the widest slices until there are enough for the wanted share of an upstream; gives each hot key a
 * slice of its own; merges such a slice back once the key is no longer hot and its neighbour has the same owner.
 * @param wanted number of slices to reach, bounded by MaxSlices
 * @param hot hashes of hot keys, ascending
 * @param moving first hashes of slices on the move; they are neither cut nor merged
 * @param grain slices begin at multiples of it
 */
SliceSplits planSplits(const SliceMap &map,
                       std::size_t wanted,
                       const std::vector<std::uint64_t> &hot,
                       const std::set<std::uint64_t> &moving,
                       std::uint64_t grain = 1);

} // namespace bergamotweir::control
