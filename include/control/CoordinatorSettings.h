#pragma once

#include "base/Result.h"
#include "control/LimitAllocator.h"

#include <chrono>
#include <cstddef>

namespace bergamotweir::control {

/** What the leader's coordination of agents is told. Made by CoordinatorSettingsBuilder. */
struct CoordinatorSettings {
    /** Length of an agent's lease, counted by the agent from the moment it sent the renewal. */
    std::chrono::milliseconds lease{500};
    /** Added to the lease on the leader's side, for clocks that run at different rates. */
    std::chrono::milliseconds drift{25};
    /** A new leader declares no agent lost before this much beyond a whole lease: agents have to find it first. */
    std::chrono::milliseconds takeoverGrace{400};
    /**
     * Whether a process that listens at the address of the one before it proves that one's end: true where addresses
     * belong to VMs and a replaced VM gets another one. Otherwise the lease of the one before is waited out.
     */
    bool addressReuseProvesExit = false;
    /** Time that a restarted agent's upstreams have to announce themselves again. */
    std::chrono::milliseconds announceGrace{1500};
    /** A service that has no owners yet waits until membership has been quiet for this long, not to give all to one. */
    std::chrono::milliseconds initialAssignmentDelay{300};
    /** Load is not evened out before membership has been quiet for this long; orphans never wait. */
    std::chrono::milliseconds rebalanceDelay{5000};
    /** Time between two looks at a service that is being evened out. */
    std::chrono::milliseconds rebalanceInterval{100};
    /** Time between two looks at a service where nothing is to be done, for loads that drift. */
    std::chrono::milliseconds idleCheckInterval{5000};
    /** Slices on the move at once to or from one upstream while load is evened out: a cold one fills step by step. */
    std::size_t movesPerUpstream = 2;
    /** Slices per upstream that a service is split into. */
    std::size_t slicesPerUpstream = 16;
    /** Share of the rightful load by which an upstream may be above or below it. */
    double tolerance = 0.05;
    /** How limits of workspaces are shared out. */
    LimitAllocatorSettings limits;
};

/** Collects the settings and checks them together. */
class CoordinatorSettingsBuilder
{
public:
    /** @param lease length @param drift margin for clock drift */
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
