#pragma once

#include "agent/AttemptOutcome.h"

#include <pcg_random.hpp>

#include <chrono>

namespace bergamotweir::agent {

/**
 * Chooses when a caller whose request was refused, and surely did not run, should come back. For callers that wait for
 * two seconds or more and come back once or twice.
 *
 * The loads that it answers: where there was no room, room comes with the next finished work, and an early return may
 * still be in its target. Where nobody serves the key or the route now, an owner is granted it within a heartbeat or
 * two: who comes back sooner is surely refused again, and has no further try. Both are spread, so that callers who were
 * refused together don't return together.
 * @param outcome why the last attempt ended
 * @return the time to wait
 */
std::chrono::milliseconds chooseRetryAfter(AttemptOutcome outcome, pcg32 &random);

} // namespace bergamotweir::agent
