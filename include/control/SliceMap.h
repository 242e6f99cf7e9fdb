#pragma once

#include "control.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace bergamotweir::control {

/** Who owns a slice and since which change of ownership. */
struct SliceHolding {
    /** Upstream id; 0 means no owner. */
    std::uint32_t owner = 0;
    /** Grows by one at each change of owner, also when the owner gets back a slice that it had released. */
    std::uint64_t epoch = 0;
    /** What the owner before gave out with its release; empty when it gave nothing. */
    std::string handover = {};

    bool operator==(const SliceHolding &other) const = default;
};

/**
 * The slices of one keyed service: consecutive ranges which together cover the whole key hash space.
 * Owned by the replicated state. Grows with slices, never with keys.
 */
class SliceMap
{
public:
    /** Slices by their first hash; there is always one that begins at 0. */
    using Slices = std::map<std::uint64_t, SliceHolding>;

    /**
     * @param count at least 1
     * @param grain every slice begins at a multiple of it
     * @return that many slices of equal width, to a grain, without an owner
     */
    static SliceMap uniform(std::size_t count, std::uint64_t grain = 1);

    /** @return all slices, ordered by begin */
    const Slices &slices() const;

    /** @return the slice that a hash falls into */
    Slices::const_iterator at(std::uint64_t hash) const;

    /** @return the share of the hash space that a slice covers, in 0..1 */
    double width(Slices::const_iterator slice) const;

    /**
     * Changes an owner, or splits a slice when begin lies inside one.
     * Refuses everything that is neither the holding there (a mere split) nor the direct successor in epoch of a slice
     * that begins just there: a proposal made from an older assignment, or from slices since merged, must not undo a
     * newer one.
     * @return false when refused; nothing changed then
     */
    bool put(const wire::SliceOwner &change);

    /**
     * Merges a slice into the one before it; both must have the same owner. The merged slice takes an epoch beyond
     * both: a Released said for either of them before must not count for the whole.
     * @return false when refused; nothing changed then
     */
    bool merge(std::uint64_t begin);

    /** Replaces everything by slices of a snapshot. */
    void restore(const wire::ServiceSlices &from);

private:
    Slices entries;
};

/** @return a slice as it travels between processes */
wire::SliceOwner toWire(SliceMap::Slices::const_iterator slice);

} // namespace bergamotweir::control
