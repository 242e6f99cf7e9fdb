#include "agent/AdaptiveLimit.h"

#include <algorithm>
#include <cassert>

namespace bergamotweir::agent {

namespace {

using std::chrono::nanoseconds;

/** A window closes with so many answers per allowed request, ... */
constexpr unsigned AnswersPerSlot = 2;
constexpr unsigned LeastAnswers = 8;
/** ... but not before this, and after the longest time with whatever it has. */
constexpr std::chrono::milliseconds ShortestWindow{10};
constexpr std::chrono::milliseconds LongestWindow{1000};

/** Latency over its reference that counts as crowded. */
constexpr double CrowdedRatio = 1.5;
/** A jump from one window to the next that looks like a cold cache or a straggler. */
constexpr double ColdRatio = 3;
/** A cold upstream's latency over the window before that counts as too much load. */
constexpr double ColdCrowdedRatio = 1.25;

constexpr double CrowdedStep = 0.85;
constexpr double ColdBackStep = 0.7;
constexpr double ColdTurnStep = 0.25;
constexpr double ColdGrowth = 1.3;
/** How fast the warm latency follows a lasting rise, per window. */
constexpr double BaselineDrift = 0.01;

double ratio(nanoseconds value, nanoseconds reference)
{
    return reference.count() == 0 ? 1 : static_cast<double>(value.count()) / static_cast<double>(reference.count());
}

void clampLimit(AdaptiveLimit &limit)
{
    limit.limit = std::clamp(limit.limit, 1.0, static_cast<double>(limit.ceiling));
}

bool wasUsed(const AdaptiveLimit &limit)
{
    return limit.window.peak >= allowed(limit);
}

void learnBaseline(AdaptiveLimit &limit, nanoseconds mean)
{
    if (limit.baseline.count() == 0 || mean < limit.baseline) {
        limit.baseline = mean;
        return;
    }
    const auto drift =
        static_cast<nanoseconds::rep>(static_cast<double>((mean - limit.baseline).count()) * BaselineDrift);
    limit.baseline += nanoseconds(drift);
}

void closeCold(AdaptiveLimit &limit, nanoseconds mean)
{
    const bool worse = limit.window.sheds > 0 || ratio(mean, limit.previous) > ColdCrowdedRatio;
    if (worse) {
        limit.limit *= ColdBackStep;
        limit.calmWindows = 0;
        limit.previous = mean;
        clampLimit(limit);
        return;
    }
    limit.calmWindows++;
    limit.previous = mean;
    const bool warm = limit.baseline.count() == 0 || ratio(mean, limit.baseline) <= CrowdedRatio;
    if (wasUsed(limit)) {
        limit.limit = std::max(limit.limit + 1, limit.limit * ColdGrowth);
        clampLimit(limit);
    }
    if (warm && allowed(limit) == limit.ceiling) {
        limit.phase = LimitPhase::Steady;
        learnBaseline(limit, mean);
    }
}

void closeSteady(AdaptiveLimit &limit, nanoseconds mean)
{
    const double now = ratio(mean, limit.baseline);
    const double jump = ratio(mean, limit.previous);
    limit.previous = mean;
    learnBaseline(limit, mean);
    if (now > ColdRatio && jump > ColdRatio) {
        limit.phase = LimitPhase::Cold;
        limit.limit *= ColdTurnStep;
    } else if (now > CrowdedRatio || limit.window.sheds > 0) {
        limit.limit *= CrowdedStep;
    } else if (wasUsed(limit)) {
        limit.limit += 1;
    }
    clampLimit(limit);
}

void closeWindow(AdaptiveLimit &limit, BootTime now)
{
    const unsigned answers = std::max(limit.window.answers, 1U);
    const nanoseconds mean = limit.window.sum / answers;
    if (limit.window.answers == 0) {
        limit.limit *= limit.window.sheds > 0 ? ColdBackStep : 1;
        clampLimit(limit);
    } else if (limit.phase == LimitPhase::Cold) {
        closeCold(limit, mean);
    } else {
        closeSteady(limit, mean);
    }
    limit.window = {.start = now};
}

void closeWindowIfDue(AdaptiveLimit &limit, BootTime now)
{
    const auto age = now - limit.window.start;
    const unsigned wanted = std::max(LeastAnswers, AnswersPerSlot * allowed(limit));
    const bool full = limit.window.answers + limit.window.sheds >= wanted && age >= ShortestWindow;
    if (full || age >= LongestWindow) {
        closeWindow(limit, now);
    }
}

} // namespace

unsigned allowed(const AdaptiveLimit &limit)
{
    return std::clamp(static_cast<unsigned>(limit.limit), 1U, limit.ceiling);
}

void startCold(AdaptiveLimit &limit, BootTime now)
{
    limit.limit = 1;
    limit.phase = LimitPhase::Cold;
    limit.previous = nanoseconds(0);
    limit.calmWindows = 0;
    limit.window = {.start = now};
}

void setCeiling(AdaptiveLimit &limit, unsigned ceiling)
{
    assert(ceiling >= 1);
    limit.ceiling = ceiling;
    clampLimit(limit);
}

void noteAnswer(AdaptiveLimit &limit, std::chrono::nanoseconds latency, unsigned inProgress, BootTime now)
{
    limit.window.answers++;
    limit.window.sum += latency;
    limit.window.peak = std::max(limit.window.peak, inProgress);
    closeWindowIfDue(limit, now);
}

void noteShed(AdaptiveLimit &limit, BootTime now)
{
    limit.window.sheds++;
    closeWindowIfDue(limit, now);
}

void noteTimeout(AdaptiveLimit &limit, std::chrono::nanoseconds waited, unsigned inProgress, BootTime now)
{
    noteAnswer(limit, waited, inProgress, now);
}

} // namespace bergamotweir::agent
