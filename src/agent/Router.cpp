#include "agent/Router.h"

#include <algorithm>
#include <cassert>

namespace bergamotweir::agent {

namespace {

using std::chrono::nanoseconds;

/** Weight of a new sample in the smoothed latency: one in four, so that a straggler is seen within a few answers. */
constexpr int LatencyShare = 4;
/** Smoothed latency over the median of the service that makes a straggler, ... */
constexpr double StragglerRatio = 3;
/** ... unless the difference is too small to matter, ... */
constexpr std::chrono::milliseconds LeastDifference{2};
/** ... or too little was seen. */
constexpr unsigned LeastAnswers = 3;
constexpr unsigned MostFailuresInRow = 3;
constexpr std::chrono::milliseconds FirstEjection{200};
constexpr unsigned MostDoublings = 4;
constexpr unsigned ProbesToReturn = 3;
/** At most one upstream in so many is ejected, but always one where there is a second. */
constexpr std::size_t EjectedShare = 3;
/** One in so many while the others are less full than the share. */
constexpr std::size_t EjectedShareWithRoom = 2;
constexpr double RoomyShare = 0.6;
/** How old the median may get. */
constexpr std::chrono::milliseconds MedianAge{10};

/** Load reports older than this say nothing. */
constexpr std::chrono::milliseconds LoadAge{500};
/** A gate less full than this has room, whatever its share; ... */
constexpr double RoomyLoad = 0.75;
/** ... each part beyond it counts as so many requests outstanding here. */
constexpr double LoadWorth = 32;
/** Load of a gate that sheds: everything in progress and as much waiting. */
constexpr double FullLoad = 2;
/** Costs that differ by more send a request elsewhere than its draw by weight. */
constexpr double ClearDifference = 4;
/** Loads that differ by less are alike, and the local failure domain is preferred among them, ... */
constexpr double AlikeLoad = 0.5;
/** ... as long as the local upstream isn't busy. */
constexpr double BusyLoad = 0.5;

constexpr double HedgeQuantile = 0.95;
/** Step of the quantile estimate, as a part of itself. */
constexpr double QuantileStep = 0.05;
constexpr std::chrono::milliseconds LeastHedgeDelay{1};

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

/** Brings the median up to date now and then: it moves slowly, and is asked for with each choice. */
void refreshMedian(ServiceRouting &routing, BootTime now)
{
    if (now - routing.medianAt >= MedianAge || routing.median.count() == 0) {
        routing.median = medianLatency(routing);
        routing.medianAt = now;
    }
}

double reportedLoad(const UpstreamHealth &health, BootTime now)
{
    return now - health.loadAt < LoadAge ? health.load : 0;
}

/** @return how many upstreams may be out at once: a third, and half as long as the others have room for their load */
std::size_t mostEjected(const ServiceRouting &routing, BootTime now)
{
    double load = 0;
    for (const auto &[id, health] : routing.health) {
        load += std::min(1.0, reportedLoad(health, now));
    }
    const std::size_t known = routing.health.size();
    const bool roomy = load < RoomyShare * static_cast<double>(known);
    return std::max<std::size_t>(1, known / (roomy ? EjectedShareWithRoom : EjectedShare));
}

bool mayEject(const ServiceRouting &routing, std::uint32_t upstream, BootTime now)
{
    if (routing.health.size() < 2) {
        return false;
    }
    const auto out = std::count_if(routing.health.begin(), routing.health.end(), [&](const auto &entry) {
        return entry.first != upstream && (now < entry.second.ejectedUntil || entry.second.probesLeft > 0);
    });
    return static_cast<std::size_t>(out) < mostEjected(routing, now);
}

void eject(ServiceRouting &routing, std::uint32_t upstream, BootTime now)
{
    if (!mayEject(routing, upstream, now)) {
        return;
    }
    UpstreamHealth &health = routing.health[upstream];
    health.ejectedUntil = now + FirstEjection * (1U << std::min(health.ejections, MostDoublings));
    health.ejections++;
    health.probesLeft = ProbesToReturn;
    health.failuresInRow = 0;
}

bool isSlow(const ServiceRouting &routing, nanoseconds latency)
{
    return routing.median.count() > 0 && latency > routing.median + LeastDifference
           && static_cast<double>(latency.count()) > StragglerRatio * static_cast<double>(routing.median.count());
}

void learnLatency(UpstreamHealth &health, nanoseconds latency)
{
    const int share = health.answers == 0 ? 1 : LatencyShare;
    health.latency += (latency - health.latency) / share;
    health.answers++;
}

void learnHedgeDelay(ServiceRouting &routing, nanoseconds latency)
{
    const auto step = static_cast<double>(routing.hedgeDelay.count()) * QuantileStep;
    const double change = latency > routing.hedgeDelay ? step * HedgeQuantile : -step * (1 - HedgeQuantile);
    routing.hedgeDelay += nanoseconds(static_cast<nanoseconds::rep>(change));
    routing.hedgeDelay = std::max<nanoseconds>(routing.hedgeDelay, LeastHedgeDelay);
}

/** A slow probe sends the upstream out again; a fast one brings it nearer. */
void judge(ServiceRouting &routing, std::uint32_t upstream, nanoseconds latency, BootTime now)
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
    if (health.answers >= LeastAnswers && isSlow(routing, health.latency)) {
        eject(routing, upstream, now);
    }
}

void noteEnded(ServiceRouting &routing, std::uint32_t upstream)
{
    UpstreamHealth &health = routing.health[upstream];
    if (health.outstanding > 0) {
        health.outstanding--;
    }
}

/** @return whether the upstream takes no request now: ejected, or probed by one already */
bool isHeldBack(const ServiceRouting &routing, std::uint32_t upstream, BootTime now)
{
    const auto found = routing.health.find(upstream);
    if (found == routing.health.end()) {
        return false;
    }
    const UpstreamHealth &health = found->second;
    // Nothing has come back for longer than a straggler's answer takes: waiting for that answer would cost more
    // requests.
    const bool stuck = health.outstanding > 0 && isSlow(routing, now - health.progressAt);
    return now < health.ejectedUntil || (health.probesLeft > 0 && health.outstanding > 0) || stuck;
}

/** @return how busy an upstream is for its weight */
double cost(const ServiceRouting &routing, const Candidate &candidate, double meanWeight, BootTime now)
{
    const auto found = routing.health.find(candidate.upstream);
    if (found == routing.health.end()) {
        return 0;
    }
    const UpstreamHealth &health = found->second;
    const double crowding = std::max(0.0, reportedLoad(health, now) - RoomyLoad);
    return crowding * LoadWorth + health.outstanding * meanWeight / candidate.weight;
}

double randomPart(pcg32 &random)
{
    return static_cast<double>(random()) / (static_cast<double>(pcg32::max()) + 1);
}

std::size_t drawByWeight(const std::vector<Candidate> &candidates, double total, pcg32 &random)
{
    double rest = randomPart(random) * total;
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
 * The first draw stands unless the second is clearly less busy: so load follows the weights, and leaves an upstream
 * only when it is behind.
 */
const Candidate &
better(const ServiceRouting &routing, const Candidate &first, const Candidate &second, double meanWeight, BootTime now)
{
    const double difference = cost(routing, first, meanWeight, now) - cost(routing, second, meanWeight, now);
    if (difference > ClearDifference) {
        return second;
    }
    const bool prefersSecond = second.localDomain && !first.localDomain && !isBusy(routing, second, now);
    return prefersSecond && difference > -AlikeLoad ? second : first;
}

const Candidate &twoChoices(ServiceRouting &routing, const std::vector<Candidate> &open, pcg32 &random, BootTime now)
{
    double total = 0;
    for (const Candidate &candidate : open) {
        total += candidate.weight;
    }
    const Candidate &first = open[drawByWeight(open, total, random)];
    const Candidate &second = open[drawByWeight(open, total, random)];
    return better(routing, first, second, total / static_cast<double>(open.size()), now);
}

std::vector<Candidate> without(const std::vector<Candidate> &candidates, const std::vector<std::uint32_t> &tried)
{
    std::vector<Candidate> left;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(left), [&](const Candidate &candidate) {
        return std::find(tried.begin(), tried.end(), candidate.upstream) == tried.end();
    });
    return left;
}

/** @return those of the own failure domain that have room, where they go first */
std::vector<Candidate> roomyLocal(const ServiceRouting &routing, const std::vector<Candidate> &open, BootTime now)
{
    std::vector<Candidate> local;
    std::copy_if(open.begin(), open.end(), std::back_inserter(local), [&](const Candidate &candidate) {
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
    const std::vector<Candidate> left = without(candidates, tried);
    if (left.empty()) {
        return 0;
    }
    if (routing.policy == ChoicePolicy::UniformRandom) {
        return left[random(static_cast<std::uint32_t>(left.size()))].upstream;
    }
    if (routing.policy == ChoicePolicy::RoundRobin) {
        return left[routing.nextIndex++ % left.size()].upstream;
    }
    if (routing.policy == ChoicePolicy::WeightedRandom) {
        double total = 0;
        for (const Candidate &candidate : left) {
            total += candidate.weight;
        }
        return left[drawByWeight(left, total, random)].upstream;
    }
    std::vector<Candidate> open;
    std::copy_if(left.begin(), left.end(), std::back_inserter(open), [&](const Candidate &candidate) {
        return !isHeldBack(routing, candidate.upstream, now);
    });
    if (const std::vector<Candidate> local = roomyLocal(routing, open, now); !local.empty()) {
        return twoChoices(routing, local, random, now).upstream;
    }
    // With nobody else left, an ejected upstream is better than none.
    return twoChoices(routing, open.empty() ? left : open, random, now).upstream;
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
    noteEnded(routing, upstream);
    refreshMedian(routing, now);
    UpstreamHealth &health = routing.health[upstream];
    health.progressAt = now;
    health.failuresInRow = 0;
    if (load >= 0) {
        health.load = load;
        health.loadAt = now;
    }
    learnLatency(health, latency);
    learnHedgeDelay(routing, latency);
    judge(routing, upstream, latency, now);
}

void recordShed(ServiceRouting &routing, std::uint32_t upstream, BootTime now)
{
    noteEnded(routing, upstream);
    UpstreamHealth &health = routing.health[upstream];
    health.load = std::max(health.load, FullLoad);
    health.loadAt = now;
}

void recordFailed(ServiceRouting &routing, std::uint32_t upstream, std::chrono::nanoseconds waited, BootTime now)
{
    noteEnded(routing, upstream);
    UpstreamHealth &health = routing.health[upstream];
    health.failuresInRow++;
    if (health.failuresInRow >= MostFailuresInRow || health.probesLeft > 0) {
        eject(routing, upstream, now);
        return;
    }
    if (waited > health.latency) {
        learnLatency(health, waited);
        judge(routing, upstream, waited, now);
    }
}

void recordCancelled(ServiceRouting &routing, std::uint32_t upstream, std::chrono::nanoseconds waited, BootTime now)
{
    noteEnded(routing, upstream);
    UpstreamHealth &health = routing.health[upstream];
    // It takes at least as long as was waited: the loser of a hedge is how a straggler is first seen.
    if (waited > health.latency) {
        learnLatency(health, waited);
        judge(routing, upstream, waited, now);
    }
}

bool isEjected(const ServiceRouting &routing, std::uint32_t upstream, BootTime now)
{
    const auto found = routing.health.find(upstream);
    return found != routing.health.end() && now < found->second.ejectedUntil;
}

} // namespace bergamotweir::agent
