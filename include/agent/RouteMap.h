#pragma once

#include "base/BootClock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include <control.pb.h>

namespace bergamotweir::agent {

/** One range of a service's hash space, up to the next slice's begin, and its owner. */
struct Slice {
    std::uint64_t begin = 0;
    /** Upstream id; 0 when the slice has no owner. */
    std::uint32_t owner = 0;
    std::uint64_t epoch = 0;
    /** Handover data that the previous owner provided with its release; empty when there is none. */
    std::string handover = {};

    bool operator==(const Slice &other) const = default;
};

/**
 * This agent's copy of the state in force at control: owners of slices, upstreams, the table and the marks.
 * It can be used for routing even when it is stale, since the owner's agent checks again under its lease. Owned by the
 * agent process; changed only by StateUpdates.
 */
struct RouteMap {
    /** The highest version applied; it never decreases. */
    wire::Version version;
    /** The serial number of the table, and its text. */
    std::uint64_t tableVersion = 0;
    std::string csv;
    /** Routes, without the operator's original text. */
    wire::RouteTable routes;
    std::set<std::string, std::less<>> failureDomainsOut;
    std::set<std::string, std::less<>> upstreamsOut;
    std::map<std::uint32_t, wire::UpstreamInfo> upstreams;
    /** Per service, sorted by begin. */
    std::map<std::string, std::vector<Slice>, std::less<>> slices;
    std::unordered_set<std::uint64_t> quarantined;
};

/** Outcome of apply() for a StateUpdate. */
enum class UpdateOutcome {
    Applied,
    /** Ignored, as it is older than the applied state: it came from a replica that is behind. */
    Older
};

/** Orders versions by term, then index. */
bool isOlder(const wire::Version &left, const wire::Version &right);

/**
 * Applies an update unless its version is older than the map's.
 * Guards against reverting the configuration when an agent connects to a replica on the other side of a partition that
 * still has an old table. All state sent by control is ordered by versions, and an older one is ignored here.
 * @param update a full state or a change on the same session
 */
UpdateOutcome apply(RouteMap &map, const wire::StateUpdate &update);

/** @return the slice that holds @p hash, or nothing when the service has none */
std::optional<Slice> findSlice(const RouteMap &map, std::string_view service, std::uint64_t hash);

/**
 * @param slice one of the service's slices
 * @return the last hash that it holds
 */
std::uint64_t lastHashOf(const RouteMap &map, std::string_view service, const Slice &slice);

/** @return the upstream with that id, or nullptr */
const wire::UpstreamInfo *findUpstream(const RouteMap &map, std::uint32_t id);

/** @return whether neither the upstream nor its failure domain is marked out, and it is serving */
bool isInService(const RouteMap &map, const wire::UpstreamInfo &upstream);

} // namespace bergamotweir::agent
