#include "agent/Ownership.h"

#include "agent/Lease.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace bergamotweir::agent {

namespace {

void addReleased(wire::Released &released, const Ownership &ownership, const SliceKey &key)
{
    wire::SliceRef *slice = released.add_slices();
    slice->set_service(key.service);
    slice->set_begin(key.begin);
    slice->set_epoch(key.epoch);
    if (const auto handover = ownership.handovers.find(key); handover != ownership.handovers.end()) {
        slice->set_handover(handover->second);
    }
}

/** @return whether the upstream may hold a revoked slice by a grant that this agent's predecessor gave */
bool mayHoldFromPredecessor(const Ownership &ownership, const SliceKey &key)
{
    if (!ownership.upstreamsHoldGrants || ownership.predecessorGrantsExpired
        || ownership.servicesEnded.contains(key.service)) {
        return false;
    }
    return !ownership.servicesReported.contains(key.service) || !ownership.handovers.contains(key);
}

/** @return whether the upstream may still hold a key of the slice under its epoch or an older one */
bool isHeld(const Ownership &ownership, const RouteMap &map, const SliceKey &key)
{
    if (mayHoldFromPredecessor(ownership, key)) {
        return true;
    }
    const auto held = ownership.held.find(key.service);
    if (held == ownership.held.end()) {
        return false;
    }
    Slice slice;
    slice.begin = key.begin;
    const std::uint64_t last = lastHashOf(map, key.service, slice);
    return std::any_of(held->second.begin(), held->second.end(), [&](const HeldRange &range) {
        return range.first <= last && key.begin <= range.last && range.epoch <= key.epoch;
    });
}

/** @return whether a revoked slice may get new work: its upstream holds it and the revoke has not been sent to it */
bool isServedUntilRevokeSent(const Ownership &ownership, const SliceKey &key)
{
    return ownership.upstreamsHoldGrants && !ownership.revokesSent.contains(key);
}

/** @return whether the map still assigns this slice, under this epoch, to one of the agent's upstreams */
bool isStillAssigned(const Ownership &ownership, const RouteMap &map, const SliceKey &key)
{
    const std::optional<Slice> slice = findSlice(map, key.service, key.begin);
    return slice && slice->begin == key.begin && slice->epoch == key.epoch
           && ownership.ownUpstreams.contains(slice->owner);
}

/** @return whether work is in progress on a key of the slice, which ends where the map's next slice begins */
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

OwnershipRefusal checkOwnership(const Ownership &ownership,
                                const RouteMap &map,
                                const Lease &lease,
                                std::string_view service,
                                std::uint64_t hash,
                                BootTime now,
                                Slice *slice)
{
    const std::optional<Slice> found = findSlice(map, service, hash);
    if (!found || !ownership.ownUpstreams.contains(found->owner)) {
        return OwnershipRefusal::NotOwner;
    }
    const SliceKey key{std::string(service), found->begin, found->epoch};
    const bool refusesNewWork = ownership.revoked.contains(key) && !isServedUntilRevokeSent(ownership, key);
    if (refusesNewWork || ownership.released.contains(key)) {
        return OwnershipRefusal::Moving;
    }
    if (ownership.upstreamsHoldGrants) {
        const auto held = ownership.held.find(service);
        if (held == ownership.held.end() || !covers(held->second, map, service, *found)) {
            return OwnershipRefusal::Moving;
        }
    }
    if (!isValidAt(lease, now)) {
        return OwnershipRefusal::NoLease;
    }
    *slice = *found;
    return OwnershipRefusal::None;
}

bool covers(const std::vector<HeldRange> &held, const RouteMap &map, std::string_view service, const Slice &slice)
{
    const std::uint64_t last = lastHashOf(map, service, slice);
    return std::any_of(held.begin(), held.end(), [&](const HeldRange &range) {
        return range.confirmed && range.first <= slice.begin && last <= range.last && range.epoch == slice.epoch;
    });
}

bool ownsLocally(const Ownership &ownership,
                 const RouteMap &map,
                 const Lease &lease,
                 std::string_view service,
                 std::uint64_t hash,
                 BootTime now)
{
    Slice slice;
    return checkOwnership(ownership, map, lease, service, hash, now, &slice) == OwnershipRefusal::None;
}

void recordKeyNotHeld(Ownership &ownership, std::string_view service, std::uint64_t hash)
{
    const auto held = ownership.held.find(service);
    if (held == ownership.held.end()) {
        return;
    }
    for (HeldRange &range : held->second) {
        if (range.first <= hash && hash <= range.last) {
            range.confirmed = false;
        }
    }
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
        if (hasWork(ownership, map, *next) || isHeld(ownership, map, *next)) {
            ++next;
            continue;
        }
        addReleased(released, ownership, *next);
        ownership.revokesSent.erase(*next);
        ownership.released.insert(*next);
        next = ownership.revoked.erase(next);
    }
    return released;
}

wire::Released resumeReleased(Ownership &ownership, const RouteMap &map)
{
    wire::Released released;
    for (auto next = ownership.released.begin(); next != ownership.released.end();) {
        if (!isStillAssigned(ownership, map, *next)) {
            next = ownership.released.erase(next);
            continue;
        }
        addReleased(released, ownership, *next);
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
    std::erase_if(ownership.handovers, [&](const auto &entry) {
        return isOld(entry.first);
    });
}

} // namespace bergamotweir::agent
