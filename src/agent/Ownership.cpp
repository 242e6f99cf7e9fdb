#include "agent/Ownership.h"

#include "agent/Lease.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace bergamotweir::agent {

namespace {

void addTo(wire::Released &released, const SliceKey &key)
{
    wire::SliceRef *slice = released.add_slices();
    slice->set_service(key.service);
    slice->set_begin(key.begin);
    slice->set_epoch(key.epoch);
}

/** @return whether the map still gives this very slice and epoch to one of the agent's upstreams */
bool isStillGiven(const Ownership &ownership, const RouteMap &map, const SliceKey &key)
{
    const std::optional<Slice> slice = findSlice(map, key.service, key.begin);
    return slice && slice->begin == key.begin && slice->epoch == key.epoch
           && ownership.ownUpstreams.contains(slice->owner);
}

/** @return whether work still runs on a key of the slice, which ends where the map's next slice begins */
bool hasWork(const Ownership &ownership, const RouteMap &map, const SliceKey &key)
{
    const auto work = ownership.work.find(key.service);
    if (work == ownership.work.end()) {
        return false;
    }
    const auto first = work->second.lower_bound(key.begin);
    if (first == work->second.end()) {
        return false;
    }
    const auto slices = map.slices.find(key.service);
    if (slices == map.slices.end()) {
        return true;
    }
    const auto next = std::find_if(slices->second.begin(), slices->second.end(), [&](const Slice &slice) {
        return slice.begin > key.begin;
    });
    return next == slices->second.end() || *first < next->begin;
}

} // namespace

bool SliceKey::operator<(const SliceKey &other) const
{
    return std::tie(this->service, this->begin, this->epoch) < std::tie(other.service, other.begin, other.epoch);
}

Refusal checkOwnership(const Ownership &ownership,
                       const RouteMap &map,
                       const Lease &lease,
                       std::string_view service,
                       std::uint64_t hash,
                       BootTime now,
                       Slice *slice)
{
    const std::optional<Slice> found = findSlice(map, service, hash);
    if (!found || !ownership.ownUpstreams.contains(found->owner)) {
        return Refusal::NotOwner;
    }
    const SliceKey key{std::string(service), found->begin, found->epoch};
    if (ownership.revoked.contains(key) || ownership.released.contains(key)) {
        return Refusal::Moving;
    }
    if (!holds(lease, now)) {
        return Refusal::NoLease;
    }
    *slice = *found;
    return Refusal::None;
}

bool ownsLocally(const Ownership &ownership,
                 const RouteMap &map,
                 const Lease &lease,
                 std::string_view service,
                 std::uint64_t hash,
                 BootTime now)
{
    Slice slice;
    return checkOwnership(ownership, map, lease, service, hash, now, &slice) == Refusal::None;
}

void beginWork(Ownership &ownership, const std::string &service, std::uint64_t hash)
{
    ownership.work[service].insert(hash);
}

void endWork(Ownership &ownership, const std::string &service, std::uint64_t hash)
{
    std::multiset<std::uint64_t> &work = ownership.work[service];
    const auto found = work.find(hash);
    assert(found != work.end());
    work.erase(found);
}

void revoke(Ownership &ownership, const wire::Revoke &order)
{
    for (const wire::SliceRef &slice : order.slices()) {
        const SliceKey key{slice.service(), slice.begin(), slice.epoch()};
        ownership.released.erase(key);
        ownership.revoked.insert(key);
    }
}

wire::Released takeReleased(Ownership &ownership, const RouteMap &map)
{
    wire::Released released;
    for (auto next = ownership.revoked.begin(); next != ownership.revoked.end();) {
        if (hasWork(ownership, map, *next)) {
            ++next;
            continue;
        }
        addTo(released, *next);
        ownership.released.insert(*next);
        next = ownership.revoked.erase(next);
    }
    return released;
}

wire::Released resumeReleased(Ownership &ownership, const RouteMap &map)
{
    wire::Released released;
    for (auto next = ownership.released.begin(); next != ownership.released.end();) {
        if (!isStillGiven(ownership, map, *next)) {
            next = ownership.released.erase(next);
            continue;
        }
        addTo(released, *next);
        ++next;
    }
    return released;
}

void forgetOldEpochs(Ownership &ownership, const RouteMap &map)
{
    const auto isOld = [&](const SliceKey &key) {
        const std::optional<Slice> slice = findSlice(map, key.service, key.begin);
        return slice && slice->begin == key.begin && slice->epoch > key.epoch;
    };
    std::erase_if(ownership.released, isOld);
}

} // namespace bergamotweir::agent
