#pragma once

#include "base/BootClock.h"
#include "control.pb.h"

namespace bergamotweir::control {

/**
 * Changes that agents have not been sent yet, merged into one update. Owned by the leader's Coordinator.
 * When hundreds of agents join at once, each registration is news for all of them; sent one by one the leader does
 * nothing else for seconds and is voted out. Merged, the number of messages depends on time and not on changes.
 */
struct UpdateBatch {
    /** Least time between two updates to all agents; the first change after a quiet time goes out at once. */
    static constexpr BootClock::duration MinInterval = std::chrono::milliseconds(50);

    wire::StateUpdate pending;
    bool empty = true;
    /** True when nothing was sent for the gap. */
    bool isIdle = true;
    BootTime sentAt{};
};

/** Adds a committed change; changes must come in the order of their versions. */
void add(UpdateBatch &batch, const wire::StateUpdate &update);

/** @return whether an agent that hears something else first could act against a change that waits: slices moved */
bool movesSlices(const UpdateBatch &batch);

/** @return the merged update; the batch is empty and not quiet afterwards */
wire::StateUpdate take(UpdateBatch &batch, BootTime now);

} // namespace bergamotweir::control
