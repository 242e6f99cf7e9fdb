#pragma once

#include "base/BootClock.h"

#include <cstdint>
#include <map>
#include <vector>

#include <pcg_random.hpp>

namespace bergamotweir::agent {

/** An upstream to which the table and the marks allow a request to be sent. */
struct Candidate {
    std::uint32_t upstream = 0;
    /** More than 0. */
    double weight = 1;
    /** Whether the upstream is in the failure domain of this agent. */
    bool localDomain = false;
};

/** Health of an upstream as observed by this agent. */
struct UpstreamHealth {
    /** Requests of this agent in flight to the upstream or its agent. */
    unsigned outstanding = 0;
    /** Smoothed latency of answers; 0 when there was none. */
    std::chrono::nanoseconds latency{0};
    unsigned answers = 0;
    unsigned failuresInRow = 0;
    /** Load of its gate as reported with the last answer: requests in progress and waiting, divided by the limit. */
    double load = 0;
    BootTime loadAt;
    /** Time of its last answer, or when a request was sent to it while it had none in flight. */
    BootTime progressAt;
    /** No requests are sent before this point. */
    BootTime ejectedUntil;
    /** Consecutive ejections; each doubles the duration of the next one. */
    unsigned ejections = 0;
    /** Fast answers still required after an ejection; until then one request is sent at a time. */
    unsigned probesLeft = 0;
};

/** How upstreams of an unkeyed service are chosen; there are several policies for comparison in measurements. */
enum class ChoicePolicy {
    /** Weighted power of two choices with outlier ejection. */
    TwoChoices,
    UniformRandom,
    RoundRobin,
    WeightedRandom
};

/** Routing state of one service; owned by the agent process. */
struct ServiceRouting {
    ChoicePolicy policy = ChoicePolicy::TwoChoices;
    /**
     * Below this load an upstream in the agent's own failure domain is preferred to all others; 0 disables this.
     * Traffic between failure domains costs money, traffic within one is free.
     */
    double maxLocalLoad = 0;
    std::map<std::uint32_t, UpstreamHealth> health;
    std::uint64_t nextIndex = 0;
    /** Lower median of the upstreams' latencies, and when it was computed. */
    std::chrono::nanoseconds median{0};
    BootTime medianAt;
    /** Running estimate of the 95th percentile of the latency; a read not answered within it is hedged. */
    std::chrono::nanoseconds hedgeDelay{std::chrono::milliseconds(10)};
};

/**
 * Chooses the upstream for a request.
 * Guards against a straggler that keeps its share of the load, which gives a long tail of latencies while one upstream
 * is slowed by its neighbours and its own load reports show this late. Outlier ejection uses the latency observed here.
 * Each ejection ends with single probes, and at most a third of the upstreams is ejected at the same time, or half at
 * low load, so that never all are ejected.
 * @param candidates in service, weight above 0
 * @param tried upstreams that are not chosen
 * @return upstream id; 0 when there is no candidate that has not been tried
 */
std::uint32_t choose(ServiceRouting &routing,
                     const std::vector<Candidate> &candidates,
                     const std::vector<std::uint32_t> &tried,
                     pcg32 &random,
                     BootTime now);

/** Records that a request is sent to @p upstream. */
void recordSent(ServiceRouting &routing, std::uint32_t upstream, BootTime now);

/** Records an answer. @param load value of the answer's Upstream-Load; below 0 when it had none */
void recordAnswered(
    ServiceRouting &routing, std::uint32_t upstream, std::chrono::nanoseconds latency, double load, BootTime now);

/** Records that a request was shed: the load is higher than last reported. This doesn't count as a failure. */
void recordShed(ServiceRouting &routing, std::uint32_t upstream, BootTime now);

/** Records a failed request. @param waited time since it was sent */
void recordFailed(ServiceRouting &routing, std::uint32_t upstream, std::chrono::nanoseconds waited, BootTime now);

/**
 * Records a cancelled request: the loser of a hedge, or one whose caller disconnected.
 * @param waited time since it was sent
 */
void recordCancelled(ServiceRouting &routing, std::uint32_t upstream, std::chrono::nanoseconds waited, BootTime now);

/** @return whether the upstream is ejected at @p now */
bool isEjected(const ServiceRouting &routing, std::uint32_t upstream, BootTime now);

} // namespace bergamotweir::agent
