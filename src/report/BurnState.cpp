#include "report/BurnState.h"

#include "report/BurnReport.h"
#include "table/Table.h"

#include <algorithm>

namespace bergamotweir::report {

namespace {

using std::chrono::minutes;

constexpr std::chrono::seconds CountBucketWidth{30};
constexpr std::size_t CountBuckets = 720;
constexpr std::chrono::minutes HourBlameBucketWidth{5};
constexpr std::chrono::minutes SixHourBlameBucketWidth{30};
constexpr std::size_t BlameBuckets = 12;

Counts toCounts(const CompletedRequest &request, const table::ServicePolicy &objectives)
{
    Counts counts{.total = 1};
    counts.refused = request.outcome == Outcome::Refused ? 1 : 0;
    counts.failed = request.outcome == Outcome::Failed ? 1 : 0;
    counts.late = request.outcome == Outcome::Answered && request.latency > objectives.sloLatency ? 1 : 0;
    return counts;
}

Blame &blameOf(ServiceBurn &service, const CompletedRequest &request)
{
    std::pair<std::string, std::string> key(request.failureDomain, request.upstream);
    if (request.upstream.empty()) {
        key = {NoUpstream, NoUpstream};
    }
    if (service.blames.size() >= MaxBlamed && !service.blames.contains(key)) {
        key = {OtherUpstreams, OtherUpstreams};
    }
    return service.blames[key];
}

std::vector<BlameReport> blameReports(const ServiceBurn &service, BootTime now)
{
    std::vector<BlameReport> reports;
    for (const auto &[key, blame] : service.blames) {
        BlameReport report{
            key.first, key.second, blame.hour.sum(minutes(60), now), blame.sixHours.sum(minutes(360), now)};
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
    : hour(HourBlameBucketWidth, BlameBuckets)
    , sixHours(SixHourBlameBucketWidth, BlameBuckets)
{
}

ServiceBurn::ServiceBurn()
    : counts(CountBucketWidth, CountBuckets)
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

void record(BurnState &state, const CompletedRequest &request, BootTime now)
{
    const auto found = state.services.find(request.service);
    if (found == state.services.end() || request.outcome == Outcome::CallerFault) {
        return;
    }
    ServiceBurn &service = found->second;
    const Counts counts = toCounts(request, service.objectives);
    service.counts.add(counts, now);
    service.sinceStart += counts;
    if (request.outcome == Outcome::Answered) {
        service.latency.add(request.latency, now);
    }
    if (counts.refused + counts.failed + counts.late > 0) {
        Blame &blame = blameOf(service, request);
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
