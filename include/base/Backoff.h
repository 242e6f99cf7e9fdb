#pragma once

#include <pcg_random.hpp>

#include <chrono>

namespace bergamotweir {

/** How pauses between tries grow. */
struct BackoffSettings {
    /** Longest pause after the first failure; doubles with each further one in a row. */
    std::chrono::milliseconds first{25};
    std::chrono::milliseconds max{200};
};

/**
 * Doubles a time for each failure in a row.
 * @param failures so far; 0 gives the first time
 * @return the time, at most settings.most
 */
std::chrono::milliseconds exponentialDelay(const BackoffSettings &settings, unsigned failures);

/**
 * Chooses the pause before the next try.
 * Guard against tries in step. It shows when many processes lose the same server at once: all come back together, and
 * together again after each refusal. Pauses are spread over the upper half of the grown time.
 * @param failures so far, at least 1
 * @return the pause
 */
std::chrono::milliseconds nextBackoff(const BackoffSettings &settings, unsigned failures, pcg32 &random);

} // namespace bergamotweir
