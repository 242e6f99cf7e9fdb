#include "base/Backoff.h"

#include <algorithm>

namespace bergamotweir {

namespace {

/** Beyond so many doublings every time here has reached its bound. */
constexpr unsigned MostDoublings = 16;

} // namespace

std::chrono::milliseconds exponentialDelay(const BackoffSettings &settings, unsigned failures)
{
    const std::chrono::milliseconds doubled = settings.first * (1L << std::min(failures, MostDoublings));
    return std::min(doubled, settings.max);
}

std::chrono::milliseconds nextBackoff(const BackoffSettings &settings, unsigned failures, pcg32 &random)
{
    const std::chrono::milliseconds longest = exponentialDelay(settings, failures == 0 ? 0 : failures - 1);
    const auto spread = static_cast<std::uint32_t>(longest.count() / 2 + 1);
    return longest - std::chrono::milliseconds(random(spread));
}

} // namespace bergamotweir
