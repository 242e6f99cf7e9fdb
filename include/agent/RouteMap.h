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

/** One range of a service's hash space, up to the next slice's begin, and who owns it. */
struct Slice {
    std::uint64_t begin = 0;
    /** Upstream id; 0 means that nobody does. */
    std::uint32_t owner = 0;
    std::uint64_t epoch = 0;
    /** What the owner before gave out with its release; empty when it gave nothing. */
    std::string handover = {};

    bool operator==(const Slice &other) const = default;
};

/**
 * What control has put in force, as far as this agent knows: owners of slices, upstreams, the table and the marks.
 * Good enough to route by when stale, since the owner's agent checks again under its lease. Owned by the agent
 * process; filled by StateUpdates only.
 */
struct RouteMap {
    /** The highest version applied; it never goes back. */
    wire::Version version;
    /** The serial number of the table, and its text. */
    std::uint64_t tableVersion = 0;
    std::string csv;
    /** Routes, without the operator's own text. */
    wire::RouteTable routes;
    std::set<std::string, std::less<>> failureDomainsOut;
    std::set<std::string, std::less<>> upstreamsOut;
    std::map<std::uint32_t, wire::UpstreamInfo> upstreams;
    /** Per service, sorted by begin. */
    std::map<std::string, std::vector<Slice>, std::less<>> slices;
    std::unordered_set<std::uint64_t> quarantined;
};

/** What became of a StateUpdate. */
enum class UpdateOutcome {
    Applied,
    /** Older than what is in force: it came from a replica that is behind, and was left out. */
    Older
};

/** Orders versions by term, then index. */
bool isOlder(const wire::Version &left, const wire::Version &right);

/**
 * Applies an update unless that would take the map back to an older state.
 * Guard against a reverting configuration. It shows when an agent reaches a replica on the far side of a partition,
 * which still holds an old table. Versions order all that control hands out, and an older one is refused here.
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
