#pragma once

#include "base/Result.h"
#include "report/Counts.h"
#include "report/LatencyStatistics.h"
#include "table/Policy.h"

#include <array>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotweir::report {

/** The windows over which budgets are watched: a short and a long one for a fast burn, and for a slow burn. */
inline constexpr std::array<std::chrono::minutes, 4> Windows{
    std::chrono::minutes(5), std::chrono::minutes(60), std::chrono::minutes(30), std::chrono::minutes(360)};

/** Places in Windows. */
enum WindowIndex : std::size_t {
    FastShort,
    FastLong,
    SlowShort,
    SlowLong,
};

/** Burn rate in both windows from which a pair raises its alarm: the budget of 30 days would be gone in 2 or 5 days. */
inline constexpr double FastBurn = 14.4;
inline constexpr double SlowBurn = 6;

/** What one upstream burned. */
struct BlameReport {
    std::string failureDomain;
    std::string upstream;
    Counts hour;
    Counts sixHours;
};

/** One service over all windows. */
struct ServiceReport {
    std::string service;
    table::ServicePolicy objectives;
    std::array<Counts, Windows.size()> windows{};
    Counts sinceStart;
    /** Of several agents: the worst of each figure, but for count and mean. */
    LatencySummary latency;
    /** Heaviest of the last six hours first. */
    std::vector<BlameReport> blames;
};

/** The burn report of an agent, or of many. */
struct BurnReport {
    unsigned agents = 1;
    /** Shortest time that an agent has been counting. */
    std::chrono::seconds counting{0};
    std::vector<ServiceReport> services;
    /** Agents that could not be asked; the report lacks their requests. */
    std::vector<std::string> unreachable;
};

/** An objective, to compute with. */
struct Burn {
    /** 1 burns exactly the budget; 0 without requests. */
    std::array<double, Windows.size()> rates{};
    /** Part of the budget of the last six hours that is left; negative when overdrawn. */
    double budgetLeft = 1;
    bool fastAlarm = false;
    bool slowAlarm = false;
};

/** @return how the availability objective fares: refused and failed requests burn it */
Burn availabilityBurn(const ServiceReport &service);

/** @return how the latency objective fares: late answers burn it */
Burn latencyBurn(const ServiceReport &service);

/** Adds another agent's report. */
void merge(BurnReport &into, const BurnReport &from);

/** @return the report for people */
std::string toText(const BurnReport &report);

/** @return the report for programs, read by fromJson() */
std::string toJson(const BurnReport &report);

/** @return the report, or what is wrong with the text */
Result<BurnReport> fromJson(std::string_view json);

} // namespace bergamotweir::report
