#include "RequestModel.h"

#include <cstdio>

// Unkeyed reads while upstreams are slowed ten times for moments, under lying load reports, and by weight; the
// baselines in the same run with the same seeds. Virtual time: figures are of the decisions, not of the processes.

using namespace bergamotweir;
using namespace bergamotweir::bench;

namespace {

constexpr Policy Policies[] = {
    {.name = "bergamotweir"},
    {.name = "no hedging", .hedging = false},
    {.name = "weighted random", .choice = agent::ChoicePolicy::WeightedRandom, .hedging = false},
    {.name = "uniform random", .choice = agent::ChoicePolicy::UniformRandom, .hedging = false},
    {.name = "round robin", .choice = agent::ChoicePolicy::RoundRobin, .hedging = false}};

/** Spells of three seconds in every five, one upstream after the other. */
std::vector<Slowness> spells(unsigned atOnce, unsigned upstreams, nanoseconds length)
{
    std::vector<Slowness> all;
    unsigned turn = 0;
    for (BootTime from(2s); from < BootTime(length); from += 5s, turn++) {
        for (unsigned extra = 0; extra < atOnce; extra++) {
            all.push_back({(turn + extra) % upstreams, from, from + 3s, 10});
        }
    }
    return all;
}

void straggling(double load, unsigned upstreams, bool lying)
{
    std::printf("\n%u upstreams, load %.1f of capacity%s\n%-16s %s\n",
                upstreams,
                load,
                lying ? ", load reports always 0" : "",
                "policy",
                "slowed  p50 ms  p99 ms  p99.9 ms  sent per request  refused  expired");
    for (const Policy &policy : Policies) {
        for (unsigned slowed = 0; slowed <= 2; slowed++) {
            Scenario scenario;
            scenario.upstreams = upstreams;
            scenario.lyingLoad = lying;
            scenario.slownesses = spells(slowed, upstreams, scenario.length);
            const double rate = load * capacity(scenario);
            scenario.rate = [rate](BootTime) {
                return rate;
            };
            Outcome outcome = RequestModel(policy, scenario).run();
            std::printf("%-16s %6u  %6.2f  %6.2f  %8.2f  %16.3f  %7lu  %7lu\n",
                        policy.name,
                        slowed,
                        outcome.quantile(0.5),
                        outcome.quantile(0.99),
                        outcome.quantile(0.999),
                        static_cast<double>(outcome.sent) / static_cast<double>(outcome.offered),
                        outcome.refused,
                        outcome.expired);
        }
    }
}

void shares(double load)
{
    std::printf("\nshare of the load against weight, load %.1f of capacity\n%-16s", load, "policy");
    Scenario scenario;
    scenario.weights = {1, 1, 2, 4};
    scenario.length = 20s;
    const double rate = load * capacity(scenario) / 2;
    scenario.rate = [rate](BootTime) {
        return rate;
    };
    std::printf("  share/rightful of weights 1 1 2 4\n");
    for (const Policy &policy : Policies) {
        const Outcome outcome = RequestModel(policy, scenario).run();
        std::printf("%-16s", policy.name);
        for (std::size_t index = 0; index < scenario.weights.size(); index++) {
            const double share = static_cast<double>(outcome.shares[index]) / static_cast<double>(outcome.sent);
            std::printf("  %.3f", share / (scenario.weights[index] / 8));
        }
        std::printf("\n");
    }
}

} // namespace

int main()
{
    straggling(0.4, 4, false);
    straggling(0.4, 4, true);
    straggling(0.7, 4, false);
    straggling(0.4, 11, false);
    shares(0.3);
    shares(0.8);
    return 0;
}
