#include "RequestModel.h"

#include <cstdio>

// Goodput under overload, after it, and while an upstream starts cold; the baselines in the same run with the same
// seeds. Virtual time: figures are of the decisions, not of the processes.

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
    scenario.length = 10s;
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
            Outcome outcome = RequestModel(policy, scenario).run();
            const double seconds = std::chrono::duration<double>(scenario.length).count();
            std::printf("%-18s %7.1f  %7.3f  %6.1f  %16.3f  %7lu  %7lu\n",
                        policy.name,
                        factor,
                        static_cast<double>(outcome.answered) / seconds / capacity(scenario),
                        outcome.quantile(0.99),
                        static_cast<double>(outcome.sent) / static_cast<double>(outcome.offered),
                        outcome.refused,
                        outcome.expired);
        }
    }
}

void recovery()
{
    std::printf(
        "\nten seconds at 0.7 of capacity, five at 3, then 0.7 again: goodput of each second, part of offered\n");
    for (const Policy &policy : Policies) {
        Scenario scenario = overload(1);
        scenario.length = 20s;
        const double full = capacity(scenario);
        scenario.rate = [full](BootTime time) {
            const bool over = time >= BootTime(10s) && time < BootTime(15s);
            return full * (over ? 3 : 0.7);
        };
        Outcome outcome = RequestModel(policy, scenario).run();
        std::printf("%-18s", policy.name);
        for (long second = 9; second < 20; second++) {
            const double offered = full * (second >= 10 && second < 15 ? 3 : 0.7);
            std::printf(" %5.2f", static_cast<double>(outcome.goodput[second]) / offered);
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
        scenario.length = 20s;
        scenario.coldAt = BootTime(5s);
        Outcome outcome = RequestModel(policy, scenario).run();
        std::printf("%-18s %31.2f  %19.4f  %6.1f  %11.3f\n",
                    policy.name,
                    outcome.coldCrowding,
                    static_cast<double>(outcome.answered) / static_cast<double>(outcome.offered),
                    outcome.quantile(0.99),
                    static_cast<double>(outcome.shares[0]) / static_cast<double>(outcome.sent));
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
