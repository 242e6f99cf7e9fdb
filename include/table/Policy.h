#pragma once

#include <chrono>

namespace bergamotweir::table {

/** What the table says about one upstream of a service. */
struct UpstreamPolicy {
    /** Share of the load, relative to the service's other upstreams; 0 gives it none. */
    double weight = 1;
    /** Most requests in progress at once; 0 leaves it to the slots that the upstream announced. */
    unsigned limit = 0;
    /** False takes the upstream out of service. */
    bool inService = true;

    bool operator==(const UpstreamPolicy &other) const = default;
};

/** What the table says about a service as a whole. */
struct ServicePolicy {
    /** True where each key has one owner. */
    bool keyed = false;
    /** Deadline of a request that states none itself. */
    std::chrono::milliseconds timeout{1000};
    /** Objective: this percentage of requests is answered without a fault of the system or of the upstream. */
    double sloAvailability = 99.9;
    /** Objective: sloPercentile percent of the answers come within this time. */
    std::chrono::milliseconds sloLatency{14};
    /** The percentage that belongs to sloLatency. */
    double sloPercentile = 99;
    /** Keys are the numbers that requests carry, kept in their order, and not hashed. */
    bool numberedKeys = false;
    /** Requests a second that a cold upstream bears; 0 where the table doesn't say. */
    double warmupPerSecond = 0;

    bool operator==(const ServicePolicy &other) const = default;
};

} // namespace bergamotweir::table
