#include "RequestModel.h"

#include <cstdio>

// Measures goodput during overload, after it and during the cold start of an upstream. The baselines run in the same
// process with the same seeds. Time is virtual: the figures describe the decisions, not the processes.

using namespace bergamotweir;
using namespace bergamotweir::bench;

namespace {

constexpr Policy Policies[] = {{.name = "bergamotweir"},
                               {.name = "no adaptive limit", .adaptive = false},
                               {.name = "unlimited retries", .retryBudget = false},
                               {.name = "neither", .adaptive = false, .retryBudget = false, .hedging = false}};

Scenario overload(double factor)
{
    Scenario scenario;
    scenario.deadline = 100ms;
    scenario.runTime = 10s;
    const double rate = factor * capacity(scenario);
    scenario.rate = [rate](BootTime) {
        return rate;
    };
    return scenario;
}

void goodput()
{
    std::printf("goodput as a part of capacity, deadline 100 ms\n%-18s %s\n",
                "policy",
                "offered  goodput  p99 ms  sent per request  refused  expired");
    for (const Policy &policy : Policies) {
        for (const double factor : {0.5, 0.8, 1.0, 1.5, 2.0, 3.0}) {
            const Scenario scenario = overload(factor);
            RunResult result = RequestModel(policy, scenario).run();
            const double seconds = std::chrono::duration<double>(scenario.runTime).count();
            std::printf("%-18s %7.1f  %7.3f  %6.1f  %16.3f  %7lu  %7lu\n",
                        policy.name,
                        factor,
                        static_cast<double>(result.answered) / seconds / capacity(scenario),
                        result.quantile(0.99),
                        static_cast<double>(result.sent) / static_cast<double>(result.offered),
                        result.refused,
                        result.expired);
        }
    }
}

void recovery()
{
    std::printf(
        "\nten seconds at 0.7 of capacity, five at 3, then 0.7 again: goodput of each second, part of offered\n");
    for (const Policy &policy : Policies) {
        Scenario scenario = overload(1);
        scenario.runTime = 20s;
        const double fullRate = capacity(scenario);
        scenario.rate = [fullRate](BootTime time) {
            const bool isOverloaded = time >= BootTime(10s) && time < BootTime(15s);
            return fullRate * (isOverloaded ? 3 : 0.7);
        };
        RunResult result = RequestModel(policy, scenario).run();
        std::printf("%-18s", policy.name);
        for (long second = 9; second < 20; second++) {
            const double offered = fullRate * (second >= 10 && second < 15 ? 3 : 0.7);
            std::printf(" %5.2f", static_cast<double>(result.goodput[second]) / offered);
        }
        std::printf("\n");
    }
}

void coldStart()
{
    std::printf("\none of four upstreams starts cold at 5 s (3 slots, 3 times as slow, for 2000 answers), load 0.6\n"
                "%-18s %s\n",
                "policy",
                "most at once over what it bears  answered of offered  p99 ms  share after");
    for (const Policy &policy : Policies) {
        Scenario scenario = overload(0.6);
        scenario.runTime = 20s;
        scenario.coldAt = BootTime(5s);
        RunResult result = RequestModel(policy, scenario).run();
        std::printf("%-18s %31.2f  %19.4f  %6.1f  %11.3f\n",
                    policy.name,
                    result.maxColdOverload,
                    static_cast<double>(result.answered) / static_cast<double>(result.offered),
                    result.quantile(0.99),
                    static_cast<double>(result.shares[0]) / static_cast<double>(result.sent));
    }
}

} // namespace

int main()
{
    goodput();
    recovery();
    coldStart();
    return 0;
}
