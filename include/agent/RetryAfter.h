#pragma once

#include "agent/AttemptOutcome.h"

#include <pcg_random.hpp>

#include <chrono>

namespace bergamotweir::agent {

/**
 * Chooses the retry-after of a request that was refused and has definitely not run. Meant for callers with a deadline
 * of two seconds or more that retry once or twice.
 *
 * After an overload a slot becomes free when the next request in progress ends, and an early retry may still meet its
 * target. Where the key or the route has no serving owner at present, a new owner is granted within one or two
 * heartbeats: a caller that retries earlier would be refused again and use up its retries. Both delays are jittered, so
 * that callers refused at the same time don't retry at the same time.
 * @param outcome of the last attempt
 * @return delay before the retry
 */
std::chrono::milliseconds chooseRetryAfter(AttemptOutcome outcome, pcg32 &random);

} // namespace bergamotweir::agent
