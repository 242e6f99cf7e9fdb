#include "agent/SlowUpstream.h"

#include "agent/RequestState.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>
#include <vector>

using namespace bergamotweir;
using namespace bergamotweir::agent;
using namespace std::chrono_literals;

namespace {

constexpr double MeanWork = 0.31;
constexpr double Target = 0.8;
constexpr double Timeout = 1.5;
constexpr double RequestsPerUpstream = 4.5;
constexpr int Seconds = 20;

struct Upstream {
    double speed = 1;
    /** Factor by which its VM slows down work at the moment. */
    double slowness = 1;
    WorkTime time;
};

struct Shares {
    double late = 0;
    double timedOut = 0;
};

/**
 * Plays a service with many upstreams of different speeds, whose VMs are three times slower for a fifth of the time,
 * and few requests to each. An upstream is chosen at random and asked to divert slow requests.
 */
Shares play(unsigned upstreamCount, unsigned maxDiversions)
{
    std::mt19937 random(11);
    constexpr double Spread = 0.8;
    std::lognormal_distribution<double> work(std::log(MeanWork) - Spread * Spread / 2, Spread);
    std::bernoulli_distribution isSlowed(0.2);
    std::uniform_int_distribution<std::size_t> choose(0, upstreamCount - 1);
    std::vector<Upstream> upstreams(upstreamCount);
    constexpr double Speeds[] = {0.5, 1.0, 1.0, 1.5};
    for (std::size_t number = 0; number < upstreams.size(); ++number) {
        upstreams[number].speed = Speeds[number % 4];
    }
    ServiceWork service{.headroom = 3};
    BootTime now{1000s};
    double late = 0;
    double timedOut = 0;
    double requests = 0;
    for (int second = 0; second < Seconds; ++second) {
        now += 1s;
        const auto count = static_cast<int>(RequestsPerUpstream * upstreamCount);
        for (int request = 0; request < count; ++request) {
            Upstream *upstream = &upstreams[choose(random)];
            for (unsigned diversion = 0; diversion <= maxDiversions; ++diversion) {
                upstream = &upstreams[choose(random)];
                upstream->slowness = isSlowed(random) ? 3 : 1;
                if (!isSlowNow(upstream->time, upstream->slowness, service, now)) {
                    break;
                }
            }
            const double took = std::min(work(random) / upstream->speed * upstream->slowness, Timeout);
            recordWork(upstream->time, std::chrono::nanoseconds(static_cast<std::int64_t>(took * 1e9)));
            late += took > Target && took < Timeout ? 1 : 0;
            timedOut += took >= Timeout ? 1 : 0;
            ++requests;
        }
        service.mean = 0s;
        for (const Upstream &upstream : upstreams) {
            service.mean += upstream.time.mean / upstreamCount;
        }
        service.receivedAt = now;
    }
    return {late / requests, timedOut / requests};
}

} // namespace

// Guards against late answers in a large fleet, whose agents know the speed of hardly any upstream.
TEST_CASE("slow upstreams: with diversions fewer answers are late and fewer requests time out, at any fleet size")
{
    for (const unsigned upstreams : {40U, 300U}) {
        CAPTURE(upstreams);
        const Shares without = play(upstreams, 0);
        const Shares with = play(upstreams, MaxDiversions);
        WARN(upstreams << " upstreams: late " << without.late << ", with diversions " << with.late << "; timed out "
                       << without.timedOut << ", with diversions " << with.timedOut);
        CHECK(with.late < 0.8 * without.late);
        CHECK(with.timedOut < 0.5 * without.timedOut);
    }
}

TEST_CASE("slow upstreams: nothing is diverted without headroom, without a recent report, or by a fast upstream")
{
    const BootTime now{1000s};
    const ServiceWork service{.mean = 100ms, .headroom = 3, .receivedAt = now};
    const WorkTime slow{.mean = 300ms, .answers = 50};
    const WorkTime fast{.mean = 60ms, .answers = 50};
    CHECK(isSlowNow(slow, 1, service, now));
    CHECK_FALSE(isSlowNow(fast, 1, service, now));
    CHECK(isSlowNow(fast, 3, service, now));
    CHECK_FALSE(isSlowNow(slow, 3, {.mean = 100ms, .headroom = 1, .receivedAt = now}, now));
    CHECK_FALSE(isSlowNow(slow, 3, service, now + 6s));
    CHECK_FALSE(isSlowNow(slow, 3, {}, now));
    // A single answer shows little.
    CHECK_FALSE(isSlowNow({.mean = 300ms, .answers = 1}, 1, service, now));
}
