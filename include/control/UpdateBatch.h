#pragma once

#include "base/BootClock.h"
#include "control.pb.h"

namespace bergamotweir::control {

/**
 * Changes that have not been sent to the agents yet, merged into one update. Owned by the leader's Coordinator.
 * When hundreds of agents join at once, each registration must be sent to all of them. Sent one by one, these messages
 * occupy the leader for seconds, and it loses its leadership to an election. With merging, the number of messages
 * depends on elapsed time and not on the number of changes.
 */
struct UpdateBatch {
    /** Minimum time between two updates to all agents; the first change after an idle interval is sent at once. */
    static constexpr BootClock::duration MinInterval = std::chrono::milliseconds(50);

    wire::StateUpdate pending;
    bool empty = true;
    /** Whether nothing was sent for at least MinInterval. */
    bool isIdle = true;
    BootTime sentAt{};
};

/** Adds a committed change; changes must be added in the order of their versions. */
void add(UpdateBatch &batch, const wire::StateUpdate &update);

/**
 * @return whether the pending changes include moves of slices. They must be sent before any other message to an agent,
 *         which could otherwise act against them.
 */
bool movesSlices(const UpdateBatch &batch);

/** Empties the batch and marks it as not idle. @return the merged update */
wire::StateUpdate take(UpdateBatch &batch, BootTime now);

} // namespace bergamotweir::control
