#pragma once

#include <pcg_random.hpp>

#include <chrono>

namespace bergamotweir {

/** Exponential backoff between tries. */
struct BackoffSettings {
    /** Maximum delay after the first failure; doubles with each further consecutive failure. */
    std::chrono::milliseconds first{25};
    std::chrono::milliseconds max{200};
};

/**
 * Computes the delay that doubles with each consecutive failure.
 * @param failures so far; 0 gives settings.first
 * @return the delay without jitter, at most settings.max
 */
std::chrono::milliseconds exponentialDelay(const BackoffSettings &settings, unsigned failures);

/**
 * Chooses the delay before the next try, with jitter over the upper half of the exponential delay.
 * Without jitter, processes that lose the same server at the same moment would all reconnect together, and again
 * together after each refusal.
 * @param failures so far, at least 1
 * @return the delay
 */
std::chrono::milliseconds nextBackoff(const BackoffSettings &settings, unsigned failures, pcg32 &random);

} // namespace bergamotweir
