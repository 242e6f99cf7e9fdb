#include "agent/AdaptiveLimit.h"

#include <algorithm>
#include <cassert>

namespace bergamotweir::agent {

namespace {

using std::chrono::nanoseconds;

/** A window closes with so many answers per allowed request, ... */
constexpr unsigned AnswersPerSlot = 3;
constexpr unsigned LeastAnswers = 24;
/** ... but not before this, and after the longest time with whatever it has. */
constexpr std::chrono::milliseconds ShortestWindow{10};
constexpr std::chrono::milliseconds LongestWindow{1000};

/** Latency over the reference that counts as crowded. */
constexpr double CrowdedRatio = 1.3;
/** Latency over the reference up to which the limit may grow; between the two it stays. */
constexpr double CalmRatio = 1.2;
/** Latency over the reference that looks like a cold cache or a straggler. */
constexpr double ColdRatio = 3;
/** So many crowded windows in a row say that the reference is no longer true. */
constexpr unsigned MostCrowdedWindows = 8;

constexpr double CrowdedStep = 0.85;
constexpr double ShedStep = 0.7;
constexpr double ColdTurnStep = 0.25;
constexpr double ColdGrowth = 1.3;
/** Added per window once the limit was too high. */
constexpr double CarefulGrowth = 0.5;
/** How the reference follows a lower and a higher latency, per window. */
constexpr double FollowDown = 0.2;
constexpr double FollowUp = 0.1;

double ratio(nanoseconds value, nanoseconds reference)
{
    return static_cast<double>(value.count()) / static_cast<double>(reference.count());
}

void clampLimit(AdaptiveLimit &limit)
{
    limit.limit = std::clamp(limit.limit, 1.0, static_cast<double>(limit.ceiling));
}

void learnReference(AdaptiveLimit &limit, nanoseconds mean)
{
    if (limit.reference.count() == 0) {
        limit.reference = mean;
        return;
    }
    // A cold upstream's reference only falls: were it to follow the crowding, the limit would climb with it.
    const double followUp = limit.phase == LimitPhase::Cold ? 0 : FollowUp;
    const double follow = mean < limit.reference ? FollowDown : followUp;
    const auto change = static_cast<double>((mean - limit.reference).count()) * follow;
    limit.reference += nanoseconds(static_cast<nanoseconds::rep>(change));
}

/** Cuts the limit and measures the reference anew there. */
void turnCold(AdaptiveLimit &limit)
{
    limit.phase = LimitPhase::Cold;
    limit.limit *= ColdTurnStep;
    limit.reference = nanoseconds(0);
    limit.isSettling = true;
    limit.congestedWindows = 0;
    limit.wasCongested = false;
}

/**
 * Guard against shrinking by chance. It shows as a queue at a gate whose upstream is half idle: a few slow answers in a
 * window look like crowding. Crowding needs a crowd, so a window whose peak was below the limit says nothing of it.
 */
bool wasUsed(const AdaptiveLimit &limit)
{
    return limit.window.peak >= allowedConcurrency(limit);
}

void grow(AdaptiveLimit &limit)
{
    limit.congestedWindows = 0;
    if (wasUsed(limit)) {
        const bool fast = limit.phase == LimitPhase::Cold && !limit.wasCongested;
        limit.limit = fast ? std::max(limit.limit + 1, limit.limit * ColdGrowth) : limit.limit + CarefulGrowth;
    }
    if (limit.limit >= limit.ceiling) {
        limit.phase = LimitPhase::Steady;
        limit.wasCongested = false;
    }
}

void judgeLatency(AdaptiveLimit &limit, nanoseconds mean)
{
    if (limit.isSettling) {
        limit.isSettling = false;
        return;
    }
    const double crowding = limit.reference.count() == 0 ? 1 : ratio(mean, limit.reference);
    if (crowding > ColdRatio || limit.congestedWindows >= MostCrowdedWindows) {
        turnCold(limit);
        return;
    }
    if (limit.window.sheds > 0) {
        limit.limit *= ShedStep;
        limit.wasCongested = true;
    } else if (crowding > CrowdedRatio && wasUsed(limit)) {
        limit.limit *= CrowdedStep;
        limit.congestedWindows++;
        limit.wasCongested = true;
    } else if (crowding < CalmRatio) {
        grow(limit);
    }
    // Were the reference to follow a crowded latency, the limit would grow into the crowd again.
    if (crowding <= CrowdedRatio) {
        learnReference(limit, mean);
    }
}

void closeWindow(AdaptiveLimit &limit, BootTime now)
{
    if (limit.window.answers > 0) {
        judgeLatency(limit, limit.window.sum / limit.window.answers);
    } else if (limit.window.sheds > 0) {
        limit.limit *= ShedStep;
    }
    clampLimit(limit);
    limit.window = {};
    limit.window.start = now;
}

void closeWindowIfDue(AdaptiveLimit &limit, BootTime now)
{
    const auto age = now - limit.window.start;
    const unsigned wanted = std::max(LeastAnswers, AnswersPerSlot * allowedConcurrency(limit));
    const bool full = limit.window.answers + limit.window.sheds >= wanted && age >= ShortestWindow;
    if (full || age >= LongestWindow) {
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
