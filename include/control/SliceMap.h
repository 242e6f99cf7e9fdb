#pragma once

#include "control.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace bergamotweir::control {

/** The owner of a slice and the epoch of that ownership. */
struct SliceHolding {
    /** Upstream id; 0 means no owner. */
    std::uint32_t owner = 0;
    /** Increases by one at each change of owner, also when the owner gets back a slice that it had released. */
    std::uint64_t epoch = 0;
    /** Handover text that the previous owner returned with its release; may be empty. */
    std::string handover = {};

    bool operator==(const SliceHolding &other) const = default;
};

/**
 * The slices of one keyed service: consecutive ranges which together cover the whole key hash space.
 * Owned by the replicated state. Its size grows with the number of slices, not of keys.
 */
class SliceMap
{
public:
    /** Slices by their first hash; there is always one that begins at 0. */
    using Slices = std::map<std::uint64_t, SliceHolding>;

    /**
     * @param count at least 1
     * @param alignment every slice begins at a multiple of it
     * @return that many slices without an owner, of equal width rounded to the alignment
     */
    static SliceMap uniform(std::size_t count, std::uint64_t alignment = 1);

    /** @return all slices, ordered by begin */
    const Slices &slices() const;

    /** @return the slice that contains a hash */
    Slices::const_iterator at(std::uint64_t hash) const;

    /** @return the share of the hash space that a slice covers, in 0..1 */
    double width(Slices::const_iterator slice) const;

    /**
     * Changes the owner of a slice, or splits a slice when begin lies inside it.
     * Accepts only the current holding there (a split) or the next epoch of a slice that begins exactly there, because
     * a proposal based on an older assignment, or on slices merged since, must not undo a newer one.
     * @return false when refused; nothing is changed then
     */
    bool put(const wire::SliceOwner &change);

    /**
     * Merges a slice into the one before it; both must have the same owner. The merged slice gets an epoch above both,
     * because a Released sent earlier for either of them must not count for the merged slice.
     * @return false when refused; nothing is changed then
     */
    bool merge(std::uint64_t begin);

    /** Replaces all slices by those of a snapshot. */
    void restore(const wire::ServiceSlices &from);

private:
    Slices entries;
};

/** @return a slice in wire form */
wire::SliceOwner toWire(SliceMap::Slices::const_iterator slice);

} // namespace bergamotweir::control
