#pragma once

#include "base/BootClock.h"

#include <chrono>
#include <cstdint>

namespace bergamotweir::agent {

/** Phase of the search for the limit. */
enum class LimitPhase {
    /** The upstream is new or cold: the limit starts at one and grows while the latency stays low. */
    Cold,
    /** The limit follows the latency of a warm upstream. */
    Steady
};

/** Samples of one measuring window. */
struct LatencyWindow {
    BootTime start;
    unsigned answers = 0;
    unsigned sheds = 0;
    std::chrono::nanoseconds sum{0};
    /** Maximum number of requests in progress at the same time. */
    unsigned peak = 0;
};

/**
 * Concurrency limit of an upstream, derived from the latency of its answers. The upstream's own load reports are late
 * and can be wrong, so they aren't used.
 *
 * Guards against overloading an upstream that has just started, or whose cache was dropped without notice: under full
 * load it would slow down and never warm up. The limit starts at one for each incarnation, grows by a bounded step for
 * each window whose latency stayed near the reference, and falls when the latency rose or the upstream shed requests.
 * After a jump of the latency the limit is cut and the reference is measured again at the low limit. An upstream that
 * is as slow at low concurrency as at high concurrency (slowed by its neighbours) gets its limit back; one that was
 * congested doesn't.
 * One per upstream, owned by its Gate.
 */
struct AdaptiveLimit {
    /** Upper bound set by the table or by the upstream's number of slots. */
    unsigned ceiling = 1;
    double limit = 1;
    LimitPhase phase = LimitPhase::Cold;
    /** Latency of the uncongested upstream in its present state; 0 when not measured yet. */
    std::chrono::nanoseconds reference{0};
    /** The limit was just cut: the next window is ignored, as it has answers to requests sent before the cut. */
    bool isSettling = false;
    /** Consecutive windows whose latency was above the reference. */
    unsigned congestedWindows = 0;
    /** Whether the limit was too high at some point of this phase; from then on it grows by small fixed steps. */
    bool wasCongested = false;
    LatencyWindow window;
};

/** Limit and reference latency measured for an upstream, handed to a later gate of the same incarnation. */
struct LearnedLimit {
    /** 0 when nothing is known. */
    unsigned limit = 0;
    std::chrono::nanoseconds reference{0};
};

/** @return the values that a later gate of the same incarnation may start from */
LearnedLimit learnedLimit(const AdaptiveLimit &limit);

/**
 * Starts from the values that an earlier gate of the same incarnation had measured; does nothing when there are none.
 * The reference is restored too, so that an upstream that turned cold in the meantime is detected in the first window.
 */
void restoreLimit(AdaptiveLimit &limit, const LearnedLimit &learned, BootTime now);

/** @return how many requests may be in progress now, 1..ceiling */
unsigned allowedConcurrency(const AdaptiveLimit &limit);

/** Resets the limit to one request, for a new incarnation of the upstream. */
void startCold(AdaptiveLimit &limit, BootTime now);

/** Applies a changed table limit or number of slots. @param ceiling at least 1 */
void setCeiling(AdaptiveLimit &limit, unsigned ceiling);

/**
 * Records a complete answer.
 * @param latency from dispatch to answer
 * @param inProgress requests in progress at the answer, this one included
 */
void recordAnswer(AdaptiveLimit &limit, std::chrono::nanoseconds latency, unsigned inProgress, BootTime now);

/** Records a refusal by the upstream itself, which means that the limit is too high. */
void recordShed(AdaptiveLimit &limit, BootTime now);

/** Records a request without an answer; @p waited is a lower bound of its latency and is used as a sample. */
void recordTimeout(AdaptiveLimit &limit, std::chrono::nanoseconds waited, unsigned inProgress, BootTime now);

} // namespace bergamotweir::agent
