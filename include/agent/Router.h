#pragma once

#include "base/BootClock.h"

#include <cstdint>
#include <map>
#include <vector>

#include <pcg_random.hpp>

namespace bergamotweir::agent {

/** An upstream that a request may go to, as table and marks have it. */
struct Candidate {
    std::uint32_t upstream = 0;
    /** More than 0. */
    double weight = 1;
    /** Whether it is in the failure domain of this agent. */
    bool localDomain = false;
};

/** What this agent has seen of an upstream. */
struct UpstreamHealth {
    /** Requests of this agent that the upstream, or the agent beside it, hasn't answered. */
    unsigned outstanding = 0;
    /** Smoothed time to an answer; 0 when none was seen. */
    std::chrono::nanoseconds latency{0};
    unsigned answers = 0;
    unsigned failuresInRow = 0;
    /** What the last answer said of its gate: in progress and waiting over allowed. */
    double load = 0;
    BootTime loadAt;
    /** Its last answer, or when it got a request after having none. */
    BootTime progressAt;
    /** No requests before this point. */
    BootTime ejectedUntil;
    /** Ejected in a row; doubles the time of the next one. */
    unsigned ejections = 0;
    /** Good answers still wanted after an ejection; until then it gets one request at a time. */
    unsigned probesLeft = 0;
};

/** How upstreams of an unkeyed service are chosen; more than one for the measurements. */
enum class ChoicePolicy {
    /** Weighted power of two choices with ejection. */
    TwoChoices,
    UniformRandom,
    RoundRobin,
    WeightedRandom
};

/** What this agent knows of one service's upstreams; owned by the agent process. */
struct ServiceRouting {
    ChoicePolicy policy = ChoicePolicy::TwoChoices;
    /**
     * Below this load an upstream in the agent's own failure domain is taken before any other; 0 treats all alike.
     * Bytes between failure domains cost money, and within one they cost nothing.
     */
    double maxLocalLoad = 0;
    std::map<std::uint32_t, UpstreamHealth> health;
    std::uint64_t nextIndex = 0;
    /** Lower median of the upstreams' latencies, and when it was found. */
    std::chrono::nanoseconds median{0};
    BootTime medianAt;
    /** Running estimate of the time that all but one in twenty answers take; a read not answered by then is hedged. */
    std::chrono::nanoseconds hedgeDelay{std::chrono::milliseconds(10)};
};

/**
 * Chooses where to send a request.
 * Guard against a straggler that keeps its share. It shows as a long tail while one upstream is slowed by neighbours,
 * whose own reports say so late. Ejection goes by the latency seen here, each ejection ends in single probes, and a
 * third of the upstreams at most is out at once, or half while there is room, so it can't take out everyone.
 * @param candidates in service, weight above 0
 * @param tried upstreams to leave out as long as another one is left
 * @return upstream id; 0 when there is no candidate that has not been tried
 */
std::uint32_t choose(ServiceRouting &routing,
                     const std::vector<Candidate> &candidates,
                     const std::vector<std::uint32_t> &tried,
                     pcg32 &random,
                     BootTime now);

/** A request goes to @p upstream. */
void recordSent(ServiceRouting &routing, std::uint32_t upstream, BootTime now);

/** It was answered. @param load of the answer's Upstream-Load; below 0 when it had none */
void recordAnswered(
    ServiceRouting &routing, std::uint32_t upstream, std::chrono::nanoseconds latency, double load, BootTime now);

/** It was shed: the upstream is fuller than its last answer said, which is no fault of it. */
void recordShed(ServiceRouting &routing, std::uint32_t upstream, BootTime now);

/** It failed. @param waited since it was sent */
void recordFailed(ServiceRouting &routing, std::uint32_t upstream, std::chrono::nanoseconds waited, BootTime now);

/** It was given up, as the loser of a hedge or with its caller. @param waited since it was sent */
void recordCancelled(ServiceRouting &routing, std::uint32_t upstream, std::chrono::nanoseconds waited, BootTime now);

/** @return whether the upstream is ejected at @p now */
bool isEjected(const ServiceRouting &routing, std::uint32_t upstream, BootTime now);

} // namespace bergamotweir::agent
