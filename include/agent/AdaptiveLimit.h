#pragma once

#include "base/BootClock.h"

#include <chrono>
#include <cstdint>

namespace bergamotweir::agent {

/** Which way the limit is being sought. */
enum class LimitPhase {
    /** A fresh or cold upstream: the limit starts at one and grows while the latency allows. */
    Cold,
    /** The limit follows the latency of a warm upstream. */
    Steady
};

/** What one measuring window has seen. */
struct LatencyWindow {
    BootTime start;
    unsigned answers = 0;
    unsigned sheds = 0;
    std::chrono::nanoseconds sum{0};
    /** Most requests in progress at once. */
    unsigned peak = 0;
};

/**
 * How many requests an upstream can take at once, found from the latency of its answers. Its own load reports lag and
 * mislead; latency doesn't.
 *
 * Guard against running over an upstream. It shows when an upstream that has just started, or whose cache turned cold
 * unannounced, gets full load, slows down, and never warms up. The limit starts at one for each incarnation, grows by
 * a bounded step for each window in which the latency stayed near the reference, and falls when it didn't or when the
 * upstream shed. After a jump the limit is cut and the reference is measured anew at the low limit: an upstream that is
 * as slow alone as crowded (slowed by its neighbours) gets its limit back, one that was crowded doesn't.
 * One per upstream, owned by its Gate.
 */
struct AdaptiveLimit {
    /** Most that the table or the upstream's slots allow. */
    unsigned ceiling = 1;
    double limit = 1;
    LimitPhase phase = LimitPhase::Cold;
    /** Latency of the upstream when it isn't crowded, in its present state; 0 when not measured yet. */
    std::chrono::nanoseconds reference{0};
    /** The limit was just cut: answers to requests from before say nothing. */
    bool isSettling = false;
    /** Windows in a row whose latency was over the reference. */
    unsigned congestedWindows = 0;
    /** Whether the limit was once too high in this phase; it grows by single steps from then on. */
    bool wasCongested = false;
    LatencyWindow window;
};

/** What is known about an upstream that has been served for a while. */
struct LearnedLimit {
    /** 0 when nothing is known. */
    unsigned limit = 0;
    std::chrono::nanoseconds reference{0};
};

/** @return what a later gate of the same incarnation may start from */
LearnedLimit learnedLimit(const AdaptiveLimit &limit);

/**
 * Starts from what an earlier gate of the same incarnation had learned; ignored when nothing is known.
 * The reference comes along, so that an upstream which turned cold in between is noticed in the first window.
 */
void restoreLimit(AdaptiveLimit &limit, const LearnedLimit &learned, BootTime now);

/** @return how many requests may be in progress now, 1..ceiling */
unsigned allowedConcurrency(const AdaptiveLimit &limit);

/** Starts over at one request: a new incarnation. */
void startCold(AdaptiveLimit &limit, BootTime now);

/** Follows a changed table limit or number of slots. @param ceiling at least 1 */
void setCeiling(AdaptiveLimit &limit, unsigned ceiling);

/**
 * Counts a whole answer.
 * @param latency from dispatch to answer
 * @param inProgress requests in progress at the answer, this one included
 */
void recordAnswer(AdaptiveLimit &limit, std::chrono::nanoseconds latency, unsigned inProgress, BootTime now);

/** Counts a refusal by the upstream itself: it is fuller than thought. */
void recordShed(AdaptiveLimit &limit, BootTime now);

/** Counts a request that got no answer within @p waited; it says at least that much about the latency. */
void recordTimeout(AdaptiveLimit &limit, std::chrono::nanoseconds waited, unsigned inProgress, BootTime now);

} // namespace bergamotweir::agent
