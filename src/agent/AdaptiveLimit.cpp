#include "agent/AdaptiveLimit.h"

#include <algorithm>
#include <cassert>

namespace bergamotweir::agent {

namespace {

using std::chrono::nanoseconds;

/** Number of answers per allowed request, and at least in total, after which a window closes. */
constexpr unsigned AnswersPerSlot = 3;
constexpr unsigned MinAnswers = 24;
/** Minimum duration of a window, and the maximum after which it closes with the samples that it has. */
constexpr std::chrono::milliseconds MinWindow{10};
constexpr std::chrono::milliseconds MaxWindow{1000};

/** Ratio of latency to reference above which the upstream counts as congested. */
constexpr double CongestedRatio = 1.3;
/** Ratio of latency to reference below which the limit may grow; between this and CongestedRatio it stays unchanged. */
constexpr double MaxGrowthRatio = 1.2;
/** Ratio of latency to reference above which a cold cache or a straggler is assumed. */
constexpr double ColdRatio = 3;
/** After this number of consecutive congested windows the reference is considered outdated. */
constexpr unsigned MaxCongestedWindows = 8;

constexpr double CongestedFactor = 0.85;
constexpr double ShedFactor = 0.7;
constexpr double ColdResetFactor = 0.25;
constexpr double ColdGrowthFactor = 1.3;
/** Added to the limit per window after it was too high once. */
constexpr double AdditiveIncrease = 0.5;
/** Weights of a window in the reference, for a lower and for a higher latency. */
constexpr double ReferenceWeightDown = 0.2;
constexpr double ReferenceWeightUp = 0.1;

double ratio(nanoseconds value, nanoseconds reference)
{
    return static_cast<double>(value.count()) / static_cast<double>(reference.count());
}

void clampLimit(AdaptiveLimit &limit)
{
    limit.limit = std::clamp(limit.limit, 1.0, static_cast<double>(limit.ceiling));
}

void updateReference(AdaptiveLimit &limit, nanoseconds mean)
{
    if (limit.reference.count() == 0) {
        limit.reference = mean;
        return;
    }
    // A cold upstream's reference only falls. If it rose with a congested latency, the limit would rise with it.
    const double weightUp = limit.phase == LimitPhase::Cold ? 0 : ReferenceWeightUp;
    const double weight = mean < limit.reference ? ReferenceWeightDown : weightUp;
    const auto change = static_cast<double>((mean - limit.reference).count()) * weight;
    limit.reference += nanoseconds(static_cast<nanoseconds::rep>(change));
}

/** Cuts the limit and restarts the measurement of the reference at the lower limit. */
void resetToCold(AdaptiveLimit &limit)
{
    limit.phase = LimitPhase::Cold;
    limit.limit *= ColdResetFactor;
    limit.reference = nanoseconds(0);
    limit.isSettling = true;
    limit.congestedWindows = 0;
    limit.wasCongested = false;
}

/**
 * Guards against cutting the limit by chance, which shows as a queue at a gate whose upstream is half idle: a few slow
 * answers in a window look like congestion. A window whose peak was below the limit can't show congestion by load.
 */
bool reachedLimit(const AdaptiveLimit &limit)
{
    return limit.window.peak >= allowedConcurrency(limit);
}

void grow(AdaptiveLimit &limit)
{
    limit.congestedWindows = 0;
    if (reachedLimit(limit)) {
        const bool fast = limit.phase == LimitPhase::Cold && !limit.wasCongested;
        limit.limit = fast ? std::max(limit.limit + 1, limit.limit * ColdGrowthFactor) : limit.limit + AdditiveIncrease;
    }
    if (limit.limit >= limit.ceiling) {
        limit.phase = LimitPhase::Steady;
        limit.wasCongested = false;
    }
}

void adjustLimit(AdaptiveLimit &limit, nanoseconds mean)
{
    if (limit.isSettling) {
        limit.isSettling = false;
        return;
    }
    const double latencyRatio = limit.reference.count() == 0 ? 1 : ratio(mean, limit.reference);
    if (latencyRatio > ColdRatio || limit.congestedWindows >= MaxCongestedWindows) {
        resetToCold(limit);
        return;
    }
    if (limit.window.sheds > 0) {
        limit.limit *= ShedFactor;
        limit.wasCongested = true;
    } else if (latencyRatio > CongestedRatio && reachedLimit(limit)) {
        limit.limit *= CongestedFactor;
        limit.congestedWindows++;
        limit.wasCongested = true;
    } else if (latencyRatio < MaxGrowthRatio) {
        grow(limit);
    }
    // If the reference followed a congested latency, the limit would grow under congestion.
    if (latencyRatio <= CongestedRatio) {
        updateReference(limit, mean);
    }
}

void closeWindow(AdaptiveLimit &limit, BootTime now)
{
    if (limit.window.answers > 0) {
        adjustLimit(limit, limit.window.sum / limit.window.answers);
    } else if (limit.window.sheds > 0) {
        limit.limit *= ShedFactor;
    }
    clampLimit(limit);
    limit.window = {};
    limit.window.start = now;
}

void closeWindowIfDue(AdaptiveLimit &limit, BootTime now)
{
    const auto age = now - limit.window.start;
    const unsigned minSamples = std::max(MinAnswers, AnswersPerSlot * allowedConcurrency(limit));
    const bool full = limit.window.answers + limit.window.sheds >= minSamples && age >= MinWindow;
    if (full || age >= MaxWindow) {
        closeWindow(limit, now);
    }
}

} // namespace

LearnedLimit learnedLimit(const AdaptiveLimit &limit)
{
    if (limit.reference.count() == 0) {
        return {};
    }
    return {.limit = allowedConcurrency(limit), .reference = limit.reference};
}

void restoreLimit(AdaptiveLimit &limit, const LearnedLimit &learned, BootTime now)
{
    if (learned.limit == 0 || learned.reference.count() <= 0) {
        return;
    }
    startCold(limit, now);
    limit.limit = learned.limit;
    limit.reference = learned.reference;
    limit.wasCongested = true;
    clampLimit(limit);
    if (allowedConcurrency(limit) == limit.ceiling) {
        limit.phase = LimitPhase::Steady;
        limit.wasCongested = false;
    }
}

unsigned allowedConcurrency(const AdaptiveLimit &limit)
{
    return std::clamp(static_cast<unsigned>(limit.limit), 1U, limit.ceiling);
}

void startCold(AdaptiveLimit &limit, BootTime now)
{
    limit.limit = 1;
    limit.phase = LimitPhase::Cold;
    limit.reference = nanoseconds(0);
    limit.isSettling = false;
    limit.congestedWindows = 0;
    limit.wasCongested = false;
    limit.window = {};
    limit.window.start = now;
}

void setCeiling(AdaptiveLimit &limit, unsigned ceiling)
{
    assert(ceiling >= 1);
    limit.ceiling = ceiling;
    clampLimit(limit);
}

void recordAnswer(AdaptiveLimit &limit, std::chrono::nanoseconds latency, unsigned inProgress, BootTime now)
{
    limit.window.answers++;
    limit.window.sum += latency;
    limit.window.peak = std::max(limit.window.peak, inProgress);
    closeWindowIfDue(limit, now);
}

void recordShed(AdaptiveLimit &limit, BootTime now)
{
    limit.window.sheds++;
    closeWindowIfDue(limit, now);
}

void recordTimeout(AdaptiveLimit &limit, std::chrono::nanoseconds waited, unsigned inProgress, BootTime now)
{
    recordAnswer(limit, waited, inProgress, now);
}

} // namespace bergamotweir::agent
