#pragma once

#include "agent/Ownership.h"
#include "agent/RouteMap.h"
#include "base/BootClock.h"
#include "control.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotweir::agent {

/** One key tracked by a sketch. */
struct TrackedKey {
    std::uint64_t hash = 0;
    /** Counted requests, of which up to error may belong to keys tracked in this entry before. */
    std::uint64_t count = 0;
    std::uint64_t error = 0;
};

/** Requests to one service since the last report. */
struct ServiceLoad {
    std::uint64_t requests = 0;
    /** Number of requests by the begin of their slice. */
    std::map<std::uint64_t, std::uint64_t> slices;
    std::vector<TrackedKey> keys;
    /** Answers of the local upstream, and the total time that it worked on them. */
    std::uint32_t answers = 0;
    std::chrono::nanoseconds worked{0};
};

/**
 * Load of an upstream by slice and by its hottest keys, in memory that doesn't grow with the number of keys
 * (Space-Saving, Metwally et al. 2005: a key with more than 1/MaxTrackedKeys of the requests is always among the
 * tracked keys). Owned by the agent; reported to control with every tenth heartbeat and then reset.
 */
struct LoadSketch {
    /** Maximum number of keys tracked per service. */
    static constexpr std::size_t MaxTrackedKeys = 64;
    /** Maximum number of keys reported per service. */
    static constexpr std::size_t MaxReportedKeys = 16;
    /** Minimum share of the service's local requests at which a key is reported. */
    static constexpr double MinReportedShare = 0.02;

    std::map<std::string, ServiceLoad, std::less<>> services;
    BootTime since{};
};

/** Counts a request to a keyed service that arrived here to be served, whether it is admitted or not. */
void countRequest(LoadSketch &sketch, const RouteMap &map, std::string_view service, std::uint64_t hash);

/** Counts an answer of the local upstream to a request for one of its keys. @param worked time since the dispatch */
void countAnswer(LoadSketch &sketch, std::string_view service, std::chrono::nanoseconds worked);

/**
 * Adds the rates since the last report to a renewal and resets the sketch.
 * Reports every slice owned here, including those without requests; otherwise control would keep their last rate.
 */
void reportLoad(LoadSketch &sketch, const RouteMap &map, const Ownership &ownership, BootTime now, wire::Renew &renew);

} // namespace bergamotweir::agent
