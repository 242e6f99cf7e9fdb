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

/** One key that a sketch watches. */
struct TrackedKey {
    std::uint64_t hash = 0;
    /** Requests counted, at most error of which may belong to keys that were watched here before. */
    std::uint64_t count = 0;
    std::uint64_t error = 0;
};

/** Requests to one service since the last report. */
struct ServiceLoad {
    std::uint64_t requests = 0;
    /** By the slice's begin. */
    std::map<std::uint64_t, std::uint64_t> slices;
    std::vector<TrackedKey> keys;
    /** Answers of the upstream here, and the time that it worked on them. */
    std::uint32_t answers = 0;
    std::chrono::nanoseconds worked{0};
};

/**
 * What an upstream's load consists of: requests per slice and the heaviest keys, in memory that doesn't grow with keys
 * (Space-Saving, Metwally et al. 2005: a key with more than a MaxTrackedKeys-th of the requests is always among those
 * watched). Owned by the agent; told to control with every tenth heartbeat and then begun anew.
 */
struct LoadSketch {
    /** Keys watched for a service. */
    static constexpr std::size_t MaxTrackedKeys = 64;
    /** Keys told for a service. */
    static constexpr std::size_t MaxReportedKeys = 16;
    /** Minimum share of the service's requests here for which a key is reported. */
    static constexpr double MinReportedShare = 0.02;

    std::map<std::string, ServiceLoad, std::less<>> services;
    BootTime since{};
};

/** Counts a request to a keyed service that came here to be served, whether there was room for it or not. */
void countRequest(LoadSketch &sketch, const RouteMap &map, std::string_view service, std::uint64_t hash);

/** Counts an answer of the upstream here to a request for one of its keys. @param worked since the dispatch */
void countAnswer(LoadSketch &sketch, std::string_view service, std::chrono::nanoseconds worked);

/**
 * Tells the rates since the last report and begins anew.
 * Reports every slice owned here, also those without requests; otherwise control would keep their last rate.
 */
void reportLoad(LoadSketch &sketch, const RouteMap &map, const Ownership &ownership, BootTime now, wire::Renew &renew);

} // namespace bergamotweir::agent
