#include "base/Backoff.h"

#include <algorithm>

namespace bergamotweir {

namespace {

/** After this many doublings every delay in use has reached its maximum. */
constexpr unsigned MaxDoublings = 16;

} // namespace

std::chrono::milliseconds exponentialDelay(const BackoffSettings &settings, unsigned failures)
{
    const std::chrono::milliseconds doubled = settings.first * (1L << std::min(failures, MaxDoublings));
    return std::min(doubled, settings.max);
}

std::chrono::milliseconds nextBackoff(const BackoffSettings &settings, unsigned failures, pcg32 &random)
{
    const std::chrono::milliseconds maxDelay = exponentialDelay(settings, failures == 0 ? 0 : failures - 1);
    const auto jitterRange = static_cast<std::uint32_t>(maxDelay.count() / 2 + 1);
    return maxDelay - std::chrono::milliseconds(random(jitterRange));
}

} // namespace bergamotweir
