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

/** Windows of the burn rates: a short and a long one for the fast burn alarm, and two for the slow burn alarm. */
inline constexpr std::array<std::chrono::minutes, 4> Windows{
    std::chrono::minutes(5), std::chrono::minutes(60), std::chrono::minutes(30), std::chrono::minutes(360)};

/** Indexes in Windows. */
enum WindowIndex : std::size_t {
    FastShort,
    FastLong,
    SlowShort,
    SlowLong,
};

/** Burn rate that raises the fast alarm when both its windows reach it; it uses up the budget of 30 days in 2 days. */
inline constexpr double FastBurnRate = 14.4;
/** Burn rate that raises the slow alarm when both its windows reach it; it uses up the budget of 30 days in 5 days. */
inline constexpr double SlowBurnRate = 6;

/** The part of a service's error budget that one upstream burned. */
struct BlameReport {
    std::string failureDomain;
    std::string upstream;
    Counts hour;
    Counts sixHours;
};

/** Counts and latency of one service over all windows. */
struct ServiceReport {
    std::string service;
    table::ServicePolicy objectives;
    std::array<Counts, Windows.size()> windows{};
    Counts sinceStart;
    /** For several agents: the sum of the counts, the mean of all answers, and otherwise the highest value. */
    LatencySummary latency;
    /** Sorted by the requests counted in the last six hours, most first. */
    std::vector<BlameReport> blames;
};

/** The burn report of one agent, or the merged report of several. */
struct BurnReport {
    unsigned agents = 1;
    /** Time since the start of the agent that has counted for the shortest time. */
    std::chrono::seconds counting{0};
    std::vector<ServiceReport> services;
    /** Agents that could not be reached; the report doesn't contain their requests. */
    std::vector<std::string> unreachable;
};

/** Burn rates and remaining error budget of one objective. */
struct Burn {
    /** Burn rate of each window: 1 uses up exactly the budget; 0 without requests. */
    std::array<double, Windows.size()> rates{};
    /** Fraction of the budget of the last six hours that remains; negative when exceeded. */
    double budgetLeft = 1;
    bool fastAlarm = false;
    bool slowAlarm = false;
};

/** @return the burn of the availability objective, by refused and failed requests */
Burn availabilityBurn(const ServiceReport &service);

/** @return the burn of the latency objective, by late answers */
Burn latencyBurn(const ServiceReport &service);

/** Merges the report of another agent, or of several, into a report. */
void merge(BurnReport &into, const BurnReport &from);

/** @return the report as text for people */
std::string toText(const BurnReport &report);

/** @return the report as JSON, read by fromJson() */
std::string toJson(const BurnReport &report);

/** @return the report, or a finding when the text is malformed */
Result<BurnReport> fromJson(std::string_view json);

} // namespace bergamotweir::report
