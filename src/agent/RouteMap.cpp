#include "agent/RouteMap.h"

#include "table/RouteTable.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace bergamotweir::agent {

namespace {

using SliceList = std::vector<Slice>;

SliceList::iterator lowerBound(SliceList &slices, std::uint64_t begin)
{
    return std::lower_bound(slices.begin(), slices.end(), begin, [](const Slice &slice, std::uint64_t value) {
        return slice.begin < value;
    });
}

void applySlices(SliceList &slices, const wire::ServiceSlices &change)
{
    for (const std::uint64_t merged : change.merged()) {
        const auto found = lowerBound(slices, merged);
        if (found != slices.end() && found->begin == merged) {
            slices.erase(found);
        }
    }
    for (const wire::SliceOwner &owner : change.slices()) {
        const Slice slice{owner.begin(), owner.owner(), owner.epoch(), owner.handover()};
        const auto found = lowerBound(slices, slice.begin);
        if (found != slices.end() && found->begin == slice.begin) {
            *found = slice;
        } else {
            slices.insert(found, slice);
        }
    }
}

void applyTable(RouteMap &map, const wire::TableInForce &table)
{
    map.tableVersion = table.table_version();
    map.csv = table.csv();
    if (table.has_routes()) {
        map.routes = table.routes();
    } else if (table.has_routes_change() && table.routes_change().table().revision() > map.routes.revision()) {
        // The change may start from a revision before the one known here, if a full state came in between; see
        // table::joined().
        map.routes = table::merged(map.routes, table.routes_change());
    }
    map.failureDomainsOut = {table.failure_domains_out().begin(), table.failure_domains_out().end()};
    map.upstreamsOut = {table.upstreams_out().begin(), table.upstreams_out().end()};
}

} // namespace

bool isOlder(const wire::Version &left, const wire::Version &right)
{
    return std::tuple(left.term(), left.index()) < std::tuple(right.term(), right.index());
}

UpdateOutcome apply(RouteMap &map, const wire::StateUpdate &update)
{
    if (isOlder(update.version(), map.version)) {
        return UpdateOutcome::Older;
    }
    map.version = update.version();
    if (update.full()) {
        map.upstreams.clear();
        map.slices.clear();
        map.quarantined.clear();
    }
    if (update.has_table()) {
        applyTable(map, update.table());
    }
    for (const wire::UpstreamInfo &upstream : update.upstreams()) {
        map.upstreams[upstream.id()] = upstream;
    }
    for (const wire::ServiceSlices &service : update.services()) {
        applySlices(map.slices[service.service()], service);
    }
    map.quarantined.insert(update.quarantined().begin(), update.quarantined().end());
    for (const std::uint64_t released : update.released_from_quarantine()) {
        map.quarantined.erase(released);
    }
    return UpdateOutcome::Applied;
}

std::optional<Slice> findSlice(const RouteMap &map, std::string_view service, std::uint64_t hash)
{
    const auto found = map.slices.find(service);
    if (found == map.slices.end()) {
        return std::nullopt;
    }
    const SliceList &slices = found->second;
    const auto after =
        std::upper_bound(slices.begin(), slices.end(), hash, [](std::uint64_t value, const Slice &slice) {
            return value < slice.begin;
        });
    if (after == slices.begin()) {
        return std::nullopt;
    }
    return *std::prev(after);
}

std::uint64_t lastHashOf(const RouteMap &map, std::string_view service, const Slice &slice)
{
    const auto found = map.slices.find(service);
    if (found == map.slices.end()) {
        return slice.begin;
    }
    const auto next = std::upper_bound(
        found->second.begin(), found->second.end(), slice.begin, [](std::uint64_t value, const Slice &other) {
            return value < other.begin;
        });
    return next == found->second.end() ? std::numeric_limits<std::uint64_t>::max() : next->begin - 1;
}

const wire::UpstreamInfo *findUpstream(const RouteMap &map, std::uint32_t id)
{
    const auto found = map.upstreams.find(id);
    return found == map.upstreams.end() ? nullptr : &found->second;
}

bool isInService(const RouteMap &map, const wire::UpstreamInfo &upstream)
{
    return upstream.serving() && !map.failureDomainsOut.contains(upstream.failure_domain())
           && !map.upstreamsOut.contains(upstream.name());
}

} // namespace bergamotweir::agent
