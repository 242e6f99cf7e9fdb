#include "RequestModel.h"

#include <cstdio>

// Measures unkeyed reads while upstreams are temporarily ten times slower, with false load reports, and by weight. The
// baselines run in the same process with the same seeds. Time is virtual: the figures describe the decisions, not the
// processes.

using namespace bergamotweir;
using namespace bergamotweir::bench;

namespace {

constexpr Policy Policies[] = {
    {.name = "bergamotweir"},
    {.name = "no hedging", .hedging = false},
    {.name = "weighted random", .choice = agent::ChoicePolicy::WeightedRandom, .hedging = false},
    {.name = "uniform random", .choice = agent::ChoicePolicy::UniformRandom, .hedging = false},
    {.name = "round robin", .choice = agent::ChoicePolicy::RoundRobin, .hedging = false}};

/** @return slow periods of three seconds in every five, rotating over the upstreams, @p concurrent of them at a time */
std::vector<SlowPeriod> makeSlowPeriods(unsigned concurrent, unsigned upstreams, nanoseconds runTime)
{
    std::vector<SlowPeriod> periods;
    unsigned firstUpstream = 0;
    for (BootTime from(2s); from < BootTime(runTime); from += 5s, firstUpstream++) {
        for (unsigned offset = 0; offset < concurrent; offset++) {
            periods.push_back({(firstUpstream + offset) % upstreams, from, from + 3s, 10});
        }
    }
    return periods;
}

void measureStragglers(double load, unsigned upstreams, bool hasFalseLoad)
{
    std::printf("\n%u upstreams, load %.1f of capacity%s\n%-16s %s\n",
                upstreams,
                load,
                hasFalseLoad ? ", load reports always 0" : "",
                "policy",
                "slowed  p50 ms  p99 ms  p99.9 ms  sent per request  refused  expired");
    for (const Policy &policy : Policies) {
        for (unsigned slowedCount = 0; slowedCount <= 2; slowedCount++) {
            Scenario scenario;
            scenario.upstreams = upstreams;
            scenario.reportsZeroLoad = hasFalseLoad;
            scenario.slowPeriods = makeSlowPeriods(slowedCount, upstreams, scenario.runTime);
            const double rate = load * capacity(scenario);
            scenario.rate = [rate](BootTime) {
                return rate;
            };
            RunResult result = RequestModel(policy, scenario).run();
            std::printf("%-16s %6u  %6.2f  %6.2f  %8.2f  %16.3f  %7lu  %7lu\n",
                        policy.name,
                        slowedCount,
                        result.quantile(0.5),
                        result.quantile(0.99),
                        result.quantile(0.999),
                        static_cast<double>(result.sent) / static_cast<double>(result.offered),
                        result.refused,
                        result.expired);
        }
    }
}

void measureShares(double load)
{
    std::printf("\nshare of the load against weight, load %.1f of capacity\n%-16s", load, "policy");
    Scenario scenario;
    scenario.weights = {1, 1, 2, 4};
    scenario.runTime = 20s;
    const double rate = load * capacity(scenario) / 2;
    scenario.rate = [rate](BootTime) {
        return rate;
    };
    std::printf("  share/rightful of weights 1 1 2 4\n");
    for (const Policy &policy : Policies) {
        const RunResult result = RequestModel(policy, scenario).run();
        std::printf("%-16s", policy.name);
        for (std::size_t index = 0; index < scenario.weights.size(); index++) {
            const double share = static_cast<double>(result.shares[index]) / static_cast<double>(result.sent);
            std::printf("  %.3f", share / (scenario.weights[index] / 8));
        }
        std::printf("\n");
    }
}

} // namespace

int main()
{
    measureStragglers(0.4, 4, false);
    measureStragglers(0.4, 4, true);
    measureStragglers(0.7, 4, false);
    measureStragglers(0.4, 11, false);
    measureShares(0.3);
    measureShares(0.8);
    return 0;
}
