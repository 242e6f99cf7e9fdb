#include "report/BurnReport.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace bergamotweir::report {

namespace {

constexpr std::size_t MaxBlamesShown = 5;

Burn toBurn(const std::array<double, Windows.size()> &badFractions, double objectivePercent)
{
    const double budget = (100 - objectivePercent) / 100;
    Burn burn;
    for (std::size_t i = 0; i < Windows.size(); ++i) {
        burn.rates[i] = badFractions[i] / budget;
    }
    burn.budgetLeft = 1 - burn.rates[SlowLong];
    burn.fastAlarm = burn.rates[FastShort] >= FastBurnRate && burn.rates[FastLong] >= FastBurnRate;
    burn.slowAlarm = burn.rates[SlowShort] >= SlowBurnRate && burn.rates[SlowLong] >= SlowBurnRate;
    return burn;
}

double fraction(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

std::string formatNumber(const char *format, double value)
{
    std::array<char, 40> text{};
    const int length = std::snprintf(text.data(), text.size(), format, value);
    return {text.data(), static_cast<std::size_t>(std::clamp(length, 0, static_cast<int>(text.size()) - 1))};
}

std::string formatMilliseconds(std::chrono::nanoseconds time)
{
    return formatNumber("%.2f ms", std::chrono::duration<double, std::milli>(time).count());
}

std::string formatBurn(const char *objective, const Burn &burn)
{
    std::string text = "  " + std::string(objective) + ": budget left " + formatNumber("%.1f %%", 100 * burn.budgetLeft)
                       + ", burn rate 5m " + formatNumber("%.1f", burn.rates[FastShort]) + " 1h "
                       + formatNumber("%.1f", burn.rates[FastLong]) + ", 30m "
                       + formatNumber("%.1f", burn.rates[SlowShort]) + " 6h "
                       + formatNumber("%.1f", burn.rates[SlowLong]);
    if (burn.fastAlarm) {
        text += "  ALARM fast burn";
    }
    if (burn.slowAlarm) {
        text += "  ALARM slow burn";
    }
    return text + "\n";
}

std::string formatCounts(const Counts &counts)
{
    return std::to_string(counts.refused) + " refused, " + std::to_string(counts.failed) + " failed, "
           + std::to_string(counts.late) + " late";
}

std::string formatService(const ServiceReport &service)
{
    const Counts &all = service.windows[SlowLong];
    std::string text = service.service + ": objective " + formatNumber("%g", service.objectives.sloAvailability)
                       + " % answered, " + formatNumber("%g", service.objectives.sloPercentile) + " % within "
                       + std::to_string(service.objectives.sloLatency.count())
                       + " ms\n  last 6 h: " + std::to_string(all.total) + " requests, " + formatCounts(all) + "\n"
                       + formatBurn("availability", availabilityBurn(service))
                       + formatBurn("latency", latencyBurn(service));
    if (service.latency.count > 0) {
        text += "  answers of the last minutes: p50 " + formatMilliseconds(service.latency.p50) + ", p99 "
                + formatMilliseconds(service.latency.p99) + ", p99.9 " + formatMilliseconds(service.latency.p999)
                + ", longest " + formatMilliseconds(service.latency.maximum) + "\n";
    }
    for (std::size_t i = 0; i < std::min(service.blames.size(), MaxBlamesShown); ++i) {
        const BlameReport &blame = service.blames[i];
        text += "  burned by " + blame.failureDomain + " " + blame.upstream + ": " + formatCounts(blame.sixHours)
                + " (1 h: " + formatCounts(blame.hour) + ")\n";
    }
    return text;
}

void mergeLatency(LatencySummary &into, const LatencySummary &from)
{
    const std::uint64_t count = into.count + from.count;
    if (count > 0) {
        const double sum = static_cast<double>(into.mean.count()) * static_cast<double>(into.count)
                           + static_cast<double>(from.mean.count()) * static_cast<double>(from.count);
        into.mean = std::chrono::nanoseconds(static_cast<std::int64_t>(sum / static_cast<double>(count)));
    }
    into.count = count;
    into.p50 = std::max(into.p50, from.p50);
    into.p99 = std::max(into.p99, from.p99);
    into.p999 = std::max(into.p999, from.p999);
    into.maximum = std::max(into.maximum, from.maximum);
}

void mergeBlames(std::vector<BlameReport> &into, const std::vector<BlameReport> &from)
{
    for (const BlameReport &blame : from) {
        const auto existing = std::ranges::find_if(into, [&](const BlameReport &other) {
            return other.failureDomain == blame.failureDomain && other.upstream == blame.upstream;
        });
        if (existing == into.end()) {
            into.push_back(blame);
        } else {
            existing->hour += blame.hour;
            existing->sixHours += blame.sixHours;
        }
    }
    std::ranges::stable_sort(into, std::ranges::greater(), [](const BlameReport &blame) {
        return blame.sixHours.total;
    });
}

void mergeService(ServiceReport &into, const ServiceReport &from)
{
    for (std::size_t i = 0; i < Windows.size(); ++i) {
        into.windows[i] += from.windows[i];
    }
    into.sinceStart += from.sinceStart;
    mergeLatency(into.latency, from.latency);
    mergeBlames(into.blames, from.blames);
}

} // namespace

Burn availabilityBurn(const ServiceReport &service)
{
    std::array<double, Windows.size()> fractions{};
    for (std::size_t i = 0; i < Windows.size(); ++i) {
        const Counts &counts = service.windows[i];
        fractions[i] = fraction(counts.refused + counts.failed, counts.total);
    }
    return toBurn(fractions, service.objectives.sloAvailability);
}

Burn latencyBurn(const ServiceReport &service)
{
    std::array<double, Windows.size()> fractions{};
    for (std::size_t i = 0; i < Windows.size(); ++i) {
        const Counts &counts = service.windows[i];
        fractions[i] = fraction(counts.late, counts.total - counts.refused - counts.failed);
    }
    return toBurn(fractions, service.objectives.sloPercentile);
}

void merge(BurnReport &into, const BurnReport &from)
{
    into.counting = into.agents == 0 ? from.counting : std::min(into.counting, from.counting);
    into.agents += from.agents;
    into.unreachable.insert(into.unreachable.end(), from.unreachable.begin(), from.unreachable.end());
    for (const ServiceReport &service : from.services) {
        const auto existing = std::ranges::find(into.services, service.service, &ServiceReport::service);
        if (existing == into.services.end()) {
            into.services.push_back(service);
        } else {
            mergeService(*existing, service);
        }
    }
}

std::string toText(const BurnReport &report)
{
    std::string text = "burn report of " + std::to_string(report.agents) + " agents, counting for "
                       + std::to_string(report.counting.count()) + " s at least\n";
    for (const std::string &agent : report.unreachable) {
        text += "NOT ASKED: " + agent + "; its requests are missing below\n";
    }
    for (const ServiceReport &service : report.services) {
        text += formatService(service);
    }
    return text;
}

} // namespace bergamotweir::report
