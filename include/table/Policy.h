#pragma once

#include <chrono>

namespace bergamotweir::table {

/** Policy of one upstream of a service. */
struct UpstreamPolicy {
    /** Share of the load, relative to the service's other upstreams; 0 gives it none. */
    double weight = 1;
    /** Maximum number of requests in progress at once; 0 uses the slots that the upstream announced. */
    unsigned limit = 0;
    /** False takes the upstream out of service. */
    bool inService = true;

    bool operator==(const UpstreamPolicy &other) const = default;
};

/** Policy of a service as a whole. */
struct ServicePolicy {
    /** Whether each key of the service has one owner. */
    bool keyed = false;
    /** Time-out of a request that carries no deadline. */
    std::chrono::milliseconds timeout{1000};
    /** Objective: this percentage of requests is answered without a fault of the system or of the upstream. */
    double sloAvailability = 99.9;
    /** Objective: sloPercentile percent of the answers arrive within this time. */
    std::chrono::milliseconds sloLatency{14};
    /** The percentage that belongs to sloLatency. */
    double sloPercentile = 99;
    /** Whether keys are numbers that requests carry; they are kept in their order and not hashed. */
    bool numberedKeys = false;
    /** Maximum requests a second for a cold upstream; 0 when the table doesn't set it. */
    double warmupPerSecond = 0;

    bool operator==(const ServicePolicy &other) const = default;
};

} // namespace bergamotweir::table
