#include "agent/Router.h"

#include <algorithm>
#include <cassert>

namespace bergamotweir::agent {

namespace {

using std::chrono::nanoseconds;

/** Divisor of a new sample in the smoothed latency: a weight of one quarter detects a straggler in a few answers. */
constexpr int LatencyDivisor = 4;
/** Ratio of smoothed latency to the service's median above which an upstream is a straggler. */
constexpr double StragglerRatio = 3;
/** An upstream whose latency exceeds the median by less is not a straggler at any ratio. */
constexpr std::chrono::milliseconds MinLatencyDifference{2};
/** Minimum number of answers before an upstream can be a straggler. */
constexpr unsigned MinAnswers = 3;
constexpr unsigned MaxFailuresInRow = 3;
constexpr std::chrono::milliseconds BaseEjectionTime{200};
constexpr unsigned MaxEjectionDoublings = 4;
constexpr unsigned ProbesAfterEjection = 3;
/** At most this fraction (1/n) of the upstreams is ejected, but one is always allowed where there is a second. */
constexpr std::size_t EjectedDivisor = 3;
/** The same fraction (1/n) while the mean reported load is below LowMeanLoad. */
constexpr std::size_t EjectedDivisorAtLowLoad = 2;
constexpr double LowMeanLoad = 0.6;
/** Maximum age of the median. */
constexpr std::chrono::milliseconds MaxMedianAge{10};

/** Older load reports are ignored. */
constexpr std::chrono::milliseconds MaxLoadReportAge{500};
/** Load of a gate up to which it adds nothing to an upstream's cost. */
constexpr double UnpenalizedLoad = 0.75;
/** Number of outstanding requests that one unit of load above UnpenalizedLoad is equivalent to. */
constexpr double LoadPenalty = 32;
/** Load assumed for a gate that sheds: the limit reached, and as many requests waiting. */
constexpr double ShedLoad = 2;
/** A larger difference in cost overrides the choice by weight. */
constexpr double MinCostDifference = 4;
/** Among upstreams whose costs differ by less, the local failure domain is preferred. */
constexpr double SimilarCost = 0.5;
/** Load from which on a local upstream is no longer preferred. */
constexpr double BusyLoad = 0.5;

constexpr double HedgeQuantile = 0.95;
/** Step of the quantile estimate, as a fraction of the estimate. */
constexpr double QuantileStep = 0.05;
constexpr std::chrono::milliseconds MinHedgeDelay{1};

/** @return the lower median of the smoothed latencies; 0 when none was seen */
nanoseconds medianLatency(const ServiceRouting &routing)
{
    std::vector<nanoseconds> latencies;
    for (const auto &[id, health] : routing.health) {
        if (health.answers > 0) {
            latencies.push_back(health.latency);
        }
    }
    if (latencies.empty()) {
        return nanoseconds(0);
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

/** Updates the median if it is older than MaxMedianAge: it changes slowly and is needed for each choice. */
void refreshMedian(ServiceRouting &routing, BootTime now)
{
    if (now - routing.medianAt >= MaxMedianAge || routing.median.count() == 0) {
        routing.median = medianLatency(routing);
        routing.medianAt = now;
    }
}

double reportedLoad(const UpstreamHealth &health, BootTime now)
{
    return now - health.loadAt < MaxLoadReportAge ? health.load : 0;
}

/** @return how many upstreams may be ejected at the same time: a third, or half at low load */
std::size_t maxEjected(const ServiceRouting &routing, BootTime now)
{
    double load = 0;
    for (const auto &[id, health] : routing.health) {
        load += std::min(1.0, reportedLoad(health, now));
    }
    const std::size_t known = routing.health.size();
    const bool isLowLoad = load < LowMeanLoad * static_cast<double>(known);
    return std::max<std::size_t>(1, known / (isLowLoad ? EjectedDivisorAtLowLoad : EjectedDivisor));
}

bool canEject(const ServiceRouting &routing, std::uint32_t upstream, BootTime now)
{
    if (routing.health.size() < 2) {
        return false;
    }
    const auto ejectedCount = std::count_if(routing.health.begin(), routing.health.end(), [&](const auto &entry) {
        return entry.first != upstream && (now < entry.second.ejectedUntil || entry.second.probesLeft > 0);
    });
    return static_cast<std::size_t>(ejectedCount) < maxEjected(routing, now);
}

void eject(ServiceRouting &routing, std::uint32_t upstream, BootTime now)
{
    if (!canEject(routing, upstream, now)) {
        return;
    }
    UpstreamHealth &health = routing.health[upstream];
    health.ejectedUntil = now + BaseEjectionTime * (1U << std::min(health.ejections, MaxEjectionDoublings));
    health.ejections++;
    health.probesLeft = ProbesAfterEjection;
    health.failuresInRow = 0;
}

bool isSlow(const ServiceRouting &routing, nanoseconds latency)
{
    return routing.median.count() > 0 && latency > routing.median + MinLatencyDifference
           && static_cast<double>(latency.count()) > StragglerRatio * static_cast<double>(routing.median.count());
}

void updateLatency(UpstreamHealth &health, nanoseconds latency)
{
    const int divisor = health.answers == 0 ? 1 : LatencyDivisor;
    health.latency += (latency - health.latency) / divisor;
    health.answers++;
}

void updateHedgeDelay(ServiceRouting &routing, nanoseconds latency)
{
    const auto step = static_cast<double>(routing.hedgeDelay.count()) * QuantileStep;
    const double change = latency > routing.hedgeDelay ? step * HedgeQuantile : -step * (1 - HedgeQuantile);
    routing.hedgeDelay += nanoseconds(static_cast<nanoseconds::rep>(change));
    routing.hedgeDelay = std::max<nanoseconds>(routing.hedgeDelay, MinHedgeDelay);
}

/** Ejects a straggler. While an upstream is probed, a slow answer ejects it again and a fast one counts as a probe. */
void updateEjection(ServiceRouting &routing, std::uint32_t upstream, nanoseconds latency, BootTime now)
{
    UpstreamHealth &health = routing.health[upstream];
    if (health.probesLeft > 0) {
        if (now < health.ejectedUntil) {
            return;
        }
        if (isSlow(routing, latency)) {
            eject(routing, upstream, now);
            return;
        }
        health.probesLeft--;
        health.latency = latency;
        if (health.probesLeft == 0) {
            health.ejections = 0;
        }
        return;
    }
    if (health.answers >= MinAnswers && isSlow(routing, health.latency)) {
        eject(routing, upstream, now);
    }
}

void recordEnded(ServiceRouting &routing, std::uint32_t upstream)
{
    UpstreamHealth &health = routing.health[upstream];
    if (health.outstanding > 0) {
        health.outstanding--;
    }
}

/** @return whether no request should be sent to the upstream now: ejected, already probed, or not answering */
bool isUnavailable(const ServiceRouting &routing, std::uint32_t upstream, BootTime now)
{
    const auto found = routing.health.find(upstream);
    if (found == routing.health.end()) {
        return false;
    }
    const UpstreamHealth &health = found->second;
    // There was no answer for longer than a straggler needs. Further requests sent before the next answer would be slow
    // too.
    const bool isStuck = health.outstanding > 0 && isSlow(routing, now - health.progressAt);
    return now < health.ejectedUntil || (health.probesLeft > 0 && health.outstanding > 0) || isStuck;
}

/** @return the cost of choosing an upstream: its outstanding requests by weight, and a penalty for reported load */
double cost(const ServiceRouting &routing, const Candidate &candidate, double meanWeight, BootTime now)
{
    const auto found = routing.health.find(candidate.upstream);
    if (found == routing.health.end()) {
        return 0;
    }
    const UpstreamHealth &health = found->second;
    const double excessLoad = std::max(0.0, reportedLoad(health, now) - UnpenalizedLoad);
    return excessLoad * LoadPenalty + health.outstanding * meanWeight / candidate.weight;
}

double randomFraction(pcg32 &random)
{
    return static_cast<double>(random()) / (static_cast<double>(pcg32::max()) + 1);
}

std::size_t chooseByWeight(const std::vector<Candidate> &candidates, double total, pcg32 &random)
{
    double rest = randomFraction(random) * total;
    for (std::size_t index = 0; index + 1 < candidates.size(); index++) {
        rest -= candidates[index].weight;
        if (rest < 0) {
            return index;
        }
    }
    return candidates.size() - 1;
}

bool isBusy(const ServiceRouting &routing, const Candidate &candidate, BootTime now)
{
    const auto found = routing.health.find(candidate.upstream);
    return found != routing.health.end() && reportedLoad(found->second, now) >= BusyLoad;
}

/**
 * Returns the first choice unless the second has a clearly lower cost, so that load follows the weights and is moved
 * away only from an upstream that falls behind.
 */
const Candidate &betterOf(
    const ServiceRouting &routing, const Candidate &first, const Candidate &second, double meanWeight, BootTime now)
{
    const double difference = cost(routing, first, meanWeight, now) - cost(routing, second, meanWeight, now);
    if (difference > MinCostDifference) {
        return second;
    }
    const bool prefersSecond = second.localDomain && !first.localDomain && !isBusy(routing, second, now);
    return prefersSecond && difference > -SimilarCost ? second : first;
}

const Candidate &
twoChoices(ServiceRouting &routing, const std::vector<Candidate> &available, pcg32 &random, BootTime now)
{
    double total = 0;
    for (const Candidate &candidate : available) {
        total += candidate.weight;
    }
    const Candidate &first = available[chooseByWeight(available, total, random)];
    const Candidate &second = available[chooseByWeight(available, total, random)];
    return betterOf(routing, first, second, total / static_cast<double>(available.size()), now);
}

std::vector<Candidate> without(const std::vector<Candidate> &candidates, const std::vector<std::uint32_t> &tried)
{
    std::vector<Candidate> untried;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(untried), [&](const Candidate &candidate) {
        return std::find(tried.begin(), tried.end(), candidate.upstream) == tried.end();
    });
    return untried;
}

/** @return the candidates of the agent's failure domain whose load is below maxLocalLoad; these are preferred */
std::vector<Candidate>
localBelowMaxLoad(const ServiceRouting &routing, const std::vector<Candidate> &available, BootTime now)
{
    std::vector<Candidate> local;
    std::copy_if(available.begin(), available.end(), std::back_inserter(local), [&](const Candidate &candidate) {
        const auto found = routing.health.find(candidate.upstream);
        const double load = found == routing.health.end() ? 0 : reportedLoad(found->second, now);
        return candidate.localDomain && load < routing.maxLocalLoad;
    });
    return local;
}

} // namespace

std::uint32_t choose(ServiceRouting &routing,
                     const std::vector<Candidate> &candidates,
                     const std::vector<std::uint32_t> &tried,
                     pcg32 &random,
                     BootTime now)
{
    const std::vector<Candidate> untried = without(candidates, tried);
    if (untried.empty()) {
        return 0;
    }
    if (routing.policy == ChoicePolicy::UniformRandom) {
        return untried[random(static_cast<std::uint32_t>(untried.size()))].upstream;
    }
    if (routing.policy == ChoicePolicy::RoundRobin) {
        return untried[routing.nextIndex++ % untried.size()].upstream;
    }
    if (routing.policy == ChoicePolicy::WeightedRandom) {
        double total = 0;
        for (const Candidate &candidate : untried) {
            total += candidate.weight;
        }
        return untried[chooseByWeight(untried, total, random)].upstream;
    }
    std::vector<Candidate> available;
    std::copy_if(untried.begin(), untried.end(), std::back_inserter(available), [&](const Candidate &candidate) {
        return !isUnavailable(routing, candidate.upstream, now);
    });
    if (const std::vector<Candidate> local = localBelowMaxLoad(routing, available, now); !local.empty()) {
        return twoChoices(routing, local, random, now).upstream;
    }
    // If all untried upstreams are unavailable, an ejected one is used rather than none.
    return twoChoices(routing, available.empty() ? untried : available, random, now).upstream;
}

void recordSent(ServiceRouting &routing, std::uint32_t upstream, BootTime now)
{
    UpstreamHealth &health = routing.health[upstream];
    if (health.outstanding == 0) {
        health.progressAt = now;
    }
    health.outstanding++;
}

void recordAnswered(
    ServiceRouting &routing, std::uint32_t upstream, std::chrono::nanoseconds latency, double load, BootTime now)
{
    recordEnded(routing, upstream);
    refreshMedian(routing, now);
    UpstreamHealth &health = routing.health[upstream];
    health.progressAt = now;
    health.failuresInRow = 0;
    if (load >= 0) {
        health.load = load;
        health.loadAt = now;
    }
    updateLatency(health, latency);
    updateHedgeDelay(routing, latency);
    updateEjection(routing, upstream, latency, now);
}

void recordShed(ServiceRouting &routing, std::uint32_t upstream, BootTime now)
{
    recordEnded(routing, upstream);
    UpstreamHealth &health = routing.health[upstream];
    health.load = std::max(health.load, ShedLoad);
    health.loadAt = now;
}

void recordFailed(ServiceRouting &routing, std::uint32_t upstream, std::chrono::nanoseconds waited, BootTime now)
{
    recordEnded(routing, upstream);
    UpstreamHealth &health = routing.health[upstream];
    health.failuresInRow++;
    if (health.failuresInRow >= MaxFailuresInRow || health.probesLeft > 0) {
        eject(routing, upstream, now);
        return;
    }
    if (waited > health.latency) {
        updateLatency(health, waited);
        updateEjection(routing, upstream, waited, now);
    }
}

void recordCancelled(ServiceRouting &routing, std::uint32_t upstream, std::chrono::nanoseconds waited, BootTime now)
{
    recordEnded(routing, upstream);
    UpstreamHealth &health = routing.health[upstream];
    // The time waited is a lower bound of the latency; the loser of a hedge is often the first sign of a straggler.
    if (waited > health.latency) {
        updateLatency(health, waited);
        updateEjection(routing, upstream, waited, now);
    }
}

bool isEjected(const ServiceRouting &routing, std::uint32_t upstream, BootTime now)
{
    const auto found = routing.health.find(upstream);
    return found != routing.health.end() && now < found->second.ejectedUntil;
}

} // namespace bergamotweir::agent
