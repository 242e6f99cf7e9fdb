#include "report/BurnState.h"

#include "report/BurnReport.h"
#include "table/Table.h"

#include <algorithm>

namespace bergamotweir::report {

namespace {

using std::chrono::minutes;

constexpr std::chrono::seconds CountWidth{30};
constexpr std::size_t CountBuckets = 720;
constexpr std::chrono::minutes BlameWidthHour{5};
constexpr std::chrono::minutes BlameWidthSixHours{30};
constexpr std::size_t BlameBuckets = 12;

Counts toCounts(const CompletedRequest &end, const table::ServicePolicy &objectives)
{
    Counts counts{.total = 1};
    counts.refused = end.outcome == Outcome::Refused ? 1 : 0;
    counts.failed = end.outcome == Outcome::Failed ? 1 : 0;
    counts.late = end.outcome == Outcome::Answered && end.latency > objectives.sloLatency ? 1 : 0;
    return counts;
}

Blame &blameOf(ServiceBurn &service, const CompletedRequest &end)
{
    std::pair<std::string, std::string> place(end.failureDomain, end.upstream);
    if (end.upstream.empty()) {
        place = {NoUpstream, NoUpstream};
    }
    if (service.blames.size() >= MaxBlamed && !service.blames.contains(place)) {
        place = {OtherUpstreams, OtherUpstreams};
    }
    return service.blames[place];
}

std::vector<BlameReport> blameReports(const ServiceBurn &service, BootTime now)
{
    std::vector<BlameReport> reports;
    for (const auto &[place, blame] : service.blames) {
        BlameReport report{
            place.first, place.second, blame.hour.sum(minutes(60), now), blame.sixHours.sum(minutes(360), now)};
        if (report.sixHours.total > 0) {
            reports.push_back(std::move(report));
        }
    }
    std::ranges::stable_sort(reports, std::ranges::greater(), [](const BlameReport &report) {
        return report.sixHours.total;
    });
    return reports;
}

} // namespace

Blame::Blame()
    : hour(BlameWidthHour, BlameBuckets)
    , sixHours(BlameWidthSixHours, BlameBuckets)
{
}

ServiceBurn::ServiceBurn()
    : counts(CountWidth, CountBuckets)
{
}

void setObjectives(BurnState &state, const table::Table &table)
{
    std::erase_if(state.services, [&](const auto &entry) {
        return !table.hasService(entry.first);
    });
    for (const std::string &service : table.services()) {
        state.services[service].objectives = table.service(service);
    }
}

void record(BurnState &state, const CompletedRequest &end, BootTime now)
{
    const auto found = state.services.find(end.service);
    if (found == state.services.end() || end.outcome == Outcome::CallerFault) {
        return;
    }
    ServiceBurn &service = found->second;
    const Counts counts = toCounts(end, service.objectives);
    service.counts.add(counts, now);
    service.sinceStart += counts;
    if (end.outcome == Outcome::Answered) {
        service.latency.add(end.latency, now);
    }
    if (counts.refused + counts.failed + counts.late > 0) {
        Blame &blame = blameOf(service, end);
        blame.hour.add(counts, now);
        blame.sixHours.add(counts, now);
    }
}

BurnReport makeReport(const BurnState &state, BootTime now)
{
    BurnReport report;
    report.counting = std::chrono::duration_cast<std::chrono::seconds>(now - state.start);
    for (const auto &[name, service] : state.services) {
        ServiceReport &entry = report.services.emplace_back();
        entry.service = name;
        entry.objectives = service.objectives;
        for (std::size_t i = 0; i < Windows.size(); ++i) {
            entry.windows[i] = service.counts.sum(Windows[i], now);
        }
        entry.sinceStart = service.sinceStart;
        entry.latency = service.latency.summary(now);
        entry.blames = blameReports(service, now);
    }
    return report;
}

} // namespace bergamotweir::report
