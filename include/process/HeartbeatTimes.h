#pragma once

#include <chrono>

namespace bergamotweir::process {

/** Times that depend on how often upstreams send heartbeats. */
struct HeartbeatTimes {
    /**
     * Time without a heartbeat or an answer after which an upstream counts as frozen, and in which a restarted agent
     * hears from the upstream beside it. Two heartbeats may be late.
     */
    std::chrono::milliseconds silence;
    /** Length of an agent's lease: keys granted with one heartbeat are held until the next one, even if that is late.
     */
    std::chrono::milliseconds lease;
    /** Allowance for clock drift over a lease. */
    std::chrono::milliseconds leaseDrift;
};

/**
 * Guards against upstreams that count as frozen, or lose their keys, between two of their heartbeats.
 * @param interval time between two heartbeats of an upstream
 */
HeartbeatTimes heartbeatTimes(std::chrono::milliseconds interval);

} // namespace bergamotweir::process
