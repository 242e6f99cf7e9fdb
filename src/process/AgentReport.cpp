#include "process/AgentReport.h"

#include "agent/RouteMap.h"
#include "process/AgentState.h"
#include "report/BurnReport.h"

namespace bergamotweir::process {

namespace {

constexpr int BadRequest = 400;
constexpr int UnknownService = 404;
constexpr int BodyMismatch = 409;
constexpr int FirstServerError = 500;
constexpr int UpstreamFailed = 502;
constexpr int DeadlinePassed = 504;

report::Outcome outcomeOf(const RequestSummary &summary)
{
    if (!summary.refused) {
        return summary.status >= FirstServerError ? report::Outcome::Failed : report::Outcome::Answered;
    }
    if (summary.status == UpstreamFailed || summary.status == DeadlinePassed) {
        return report::Outcome::Failed;
    }
    if (summary.status == BadRequest || summary.status == UnknownService || summary.status == BodyMismatch) {
        return report::Outcome::CallerFault;
    }
    return report::Outcome::Refused;
}

net::HttpAnswer document(const char *type, std::string body)
{
    net::HttpAnswer answer;
    answer.status = 200;
    answer.headers = {{"Content-Type", type}};
    answer.body = std::move(body);
    return answer;
}

} // namespace

AgentReport::AgentReport(const AgentState &state)
    : state(state)
    , burn{.start = BootClock::now(), .services = {}}
{
}

void AgentReport::tableChanged()
{
    report::setObjectives(this->burn, this->state.table);
}

void AgentReport::recordCompleted(const RequestSummary &summary)
{
    const wire::UpstreamInfo *upstream = agent::findUpstream(this->state.map, summary.upstream);
    report::CompletedRequest completed;
    completed.service = summary.service;
    if (upstream != nullptr) {
        completed.upstream = upstream->name();
        completed.failureDomain = upstream->failure_domain();
    }
    completed.outcome = outcomeOf(summary);
    completed.latency = summary.latency;
    report::record(this->burn, completed, BootClock::now());
}

std::optional<net::HttpAnswer> AgentReport::answer(std::string_view target,
                                                   const std::vector<report::Metric> &gauges) const
{
    const report::BurnReport report = report::makeReport(this->burn, BootClock::now());
    if (target == "/burn") {
        return document("text/plain; charset=utf-8", report::toText(report));
    }
    if (target == "/burn?json") {
        return document("application/json", report::toJson(report));
    }
    if (target == "/metrics") {
        std::vector<report::Metric> metrics = report::burnMetrics(report);
        metrics.insert(metrics.end(), gauges.begin(), gauges.end());
        return document("text/plain; version=0.0.4", report::toPrometheus(metrics));
    }
    return std::nullopt;
}

} // namespace bergamotweir::process
