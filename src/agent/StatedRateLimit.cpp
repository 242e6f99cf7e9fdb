#include "agent/StatedRateLimit.h"

#include <algorithm>

namespace bergamotweir::agent {

namespace {

using Seconds = std::chrono::duration<double>;

double bucketSize(const StatedRateLimit &limit)
{
    return std::max(1.0, *limit.perSecond * Seconds(limit.burstTime).count());
}

double tokensAt(const StatedRateLimit &limit, BootTime now)
{
    const double added = *limit.perSecond * std::max(Seconds(0), Seconds(now - limit.refilledAt)).count();
    return std::min(limit.tokens + added, bucketSize(limit));
}

void refill(StatedRateLimit &limit, BootTime now)
{
    limit.tokens = tokensAt(limit, now);
    limit.refilledAt = now;
}

} // namespace

bool recordStatement(StatedRateLimit &limit, std::optional<double> perSecond, BootTime sentAt, BootTime now)
{
    if (!perSecond) {
        const bool ends = limit.perSecond && sentAt > limit.statedAt;
        if (ends) {
            clearStatement(limit);
        }
        return ends;
    }
    const double rate = std::max(*perSecond, MinStatedRate);
    const std::optional<double> previous = limit.perSecond;
    if (previous) {
        refill(limit, now);
    } else {
        limit.tokens = 1;
        limit.refilledAt = now;
    }
    limit.statedAt = now;
    limit.perSecond = rate;
    limit.tokens = std::min(limit.tokens, bucketSize(limit));
    return previous != limit.perSecond;
}

void clearStatement(StatedRateLimit &limit)
{
    limit.perSecond.reset();
}

BootTime nextSendAt(const StatedRateLimit &limit, std::size_t ahead)
{
    if (!limit.perSecond) {
        return {};
    }
    const Seconds missing((static_cast<double>(ahead) + 1 - limit.tokens) / *limit.perSecond);
    return limit.refilledAt + std::chrono::duration_cast<BootClock::duration>(std::max(missing, Seconds(0)));
}

void takeToken(StatedRateLimit &limit, BootTime now)
{
    if (!limit.perSecond) {
        return;
    }
    refill(limit, now);
    limit.tokens -= 1;
}

void returnToken(StatedRateLimit &limit, BootTime now)
{
    if (!limit.perSecond) {
        return;
    }
    refill(limit, now);
    limit.tokens = std::min(limit.tokens + 1, bucketSize(limit));
}

double rateLoad(const StatedRateLimit &limit, std::size_t waiting, BootTime now)
{
    if (!limit.perSecond) {
        return 0;
    }
    return 1 + (static_cast<double>(waiting) - tokensAt(limit, now)) / bucketSize(limit);
}

} // namespace bergamotweir::agent
