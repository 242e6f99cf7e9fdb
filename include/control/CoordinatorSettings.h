#pragma once

#include "base/Result.h"
#include "control/LimitAllocator.h"

#include <chrono>
#include <cstddef>

namespace bergamotweir::control {

/** Settings of the leader's coordination of agents. Made by CoordinatorSettingsBuilder. */
struct CoordinatorSettings {
    /** Length of an agent's lease, counted by the agent from the moment it sent the renewal. */
    std::chrono::milliseconds lease{500};
    /** Margin added to the lease on the leader's side, for clocks that run at different rates. */
    std::chrono::milliseconds drift{25};
    /** Time beyond a whole lease before which a new leader declares no agent lost, because agents must find it first.
     */
    std::chrono::milliseconds takeoverGrace{400};
    /**
     * Whether a process that listens at the address of its predecessor proves that the predecessor has exited: true
     * where addresses belong to VMs and a replacement VM gets another address. Otherwise the leader waits until the
     * predecessor's lease has ended.
     */
    bool addressReuseProvesExit = false;
    /** Time within which the upstreams of a restarted agent must be announced again. */
    std::chrono::milliseconds announceGrace{1500};
    /**
     * Time without a change of members before the first slices of a service are assigned, so that the first member
     * doesn't get all of them.
     */
    std::chrono::milliseconds initialAssignmentDelay{300};
    /** Time without a change of members before load is rebalanced; orphans are assigned without this delay. */
    std::chrono::milliseconds rebalanceDelay{5000};
    /** Time between two plans for a service that is being rebalanced. */
    std::chrono::milliseconds rebalanceInterval{100};
    /** Time between two plans for a service that needs no moves, to detect loads that have drifted. */
    std::chrono::milliseconds idleCheckInterval{5000};
    /** Slices moved at once to or from one upstream while load is rebalanced, so that a cold one fills gradually. */
    std::size_t movesPerUpstream = 2;
    /** Slices per upstream that a service is split into. */
    std::size_t slicesPerUpstream = 16;
    /** Fraction of its target load by which an upstream may be above or below that target. */
    double tolerance = 0.05;
    /** How limits of workspaces are divided among agents. */
    LimitAllocatorSettings limits;
};

/** Collects settings and validates them together. */
class CoordinatorSettingsBuilder
{
public:
    /** @param lease length of a lease @param drift margin for clock drift */
    CoordinatorSettingsBuilder &lease(std::chrono::milliseconds lease, std::chrono::milliseconds drift);
    CoordinatorSettingsBuilder &takeoverGrace(std::chrono::milliseconds value);
    CoordinatorSettingsBuilder &announceGrace(std::chrono::milliseconds value);
    CoordinatorSettingsBuilder &rebalanceDelay(std::chrono::milliseconds value);
    CoordinatorSettingsBuilder &rebalanceInterval(std::chrono::milliseconds value);
    CoordinatorSettingsBuilder &movesPerUpstream(std::size_t value);
    CoordinatorSettingsBuilder &slicesPerUpstream(std::size_t value);
    CoordinatorSettingsBuilder &tolerance(double value);

    /** @return the settings, or every finding about them */
    Result<CoordinatorSettings> build() const;

private:
    CoordinatorSettings settings;
};

} // namespace bergamotweir::control
