#include "control/SliceMap.h"

#include <cassert>
#include <cmath>
#include <iterator>
#include <limits>

namespace bergamotweir::control {

namespace {

constexpr double HashSpaceSize = 18446744073709551616.0;

} // namespace

SliceMap SliceMap::uniform(std::size_t count, std::uint64_t alignment)
{
    assert(count > 0 && alignment > 0);
    SliceMap map;
    // The size of the hash space, 2^64, doesn't fit the type. The quotient of the largest hash lacks one unit, which
    // matters for a wide alignment.
    const std::uint64_t alignedUnits = std::numeric_limits<std::uint64_t>::max() / alignment + (alignment > 1 ? 1 : 0);
    const std::uint64_t width = alignedUnits / count * alignment;
    for (std::size_t number = 0; number < count; ++number) {
        map.entries.emplace(width * number, SliceHolding{});
    }
    return map;
}

const SliceMap::Slices &SliceMap::slices() const
{
    return this->entries;
}

SliceMap::Slices::const_iterator SliceMap::at(std::uint64_t hash) const
{
    assert(!this->entries.empty());
    return std::prev(this->entries.upper_bound(hash));
}

double SliceMap::width(Slices::const_iterator slice) const
{
    const auto next = std::next(slice);
    const double end = next == this->entries.end() ? HashSpaceSize : static_cast<double>(next->first);
    return (end - static_cast<double>(slice->first)) / HashSpaceSize;
}

bool SliceMap::put(const wire::SliceOwner &change)
{
    const auto found = this->at(change.begin());
    const SliceHolding current = found->second;
    const bool split = change.owner() == current.owner && change.epoch() == current.epoch;
    const bool successor = found->first == change.begin() && change.epoch() == current.epoch + 1;
    if (!split && !successor) {
        return false;
    }
    this->entries[change.begin()] = SliceHolding{change.owner(), change.epoch(), change.handover()};
    return true;
}

bool SliceMap::merge(std::uint64_t begin)
{
    const auto found = this->entries.find(begin);
    if (found == this->entries.end() || found == this->entries.begin()) {
        return false;
    }
    const auto before = std::prev(found);
    if (before->second.owner != found->second.owner) {
        return false;
    }
    before->second.epoch = std::max(before->second.epoch, found->second.epoch) + 1;
    this->entries.erase(found);
    return true;
}

void SliceMap::restore(const wire::ServiceSlices &from)
{
    this->entries.clear();
    for (const wire::SliceOwner &slice : from.slices()) {
        this->entries[slice.begin()] = SliceHolding{slice.owner(), slice.epoch(), slice.handover()};
    }
    this->entries.try_emplace(0);
}

wire::SliceOwner toWire(SliceMap::Slices::const_iterator slice)
{
    wire::SliceOwner owner;
    owner.set_begin(slice->first);
    owner.set_owner(slice->second.owner);
    owner.set_epoch(slice->second.epoch);
    owner.set_handover(slice->second.handover);
    return owner;
}

} // namespace bergamotweir::control
