#include "loop/Log.h"
#include "process/AgentMetrics.h"
#include "process/AgentState.h"
#include "process/RunningRequest.h"

namespace bergamotweir::process {

namespace {

constexpr loop::Log Log("request");

} // namespace

/** Logs which upstream was chosen and why; a warning when there is none. */
void RequestRunner::logUpstreamChoice(const RunningRequest &request, std::uint32_t upstream) const
{
    const agent::RequestFacts &facts = request.state.facts;
    const wire::UpstreamInfo *info = agent::findUpstream(this->state.map, upstream);
    if (info == nullptr) {
        Log.event(loop::LogLevel::Warn, "no upstream")
            .with("request", request.parsed.requestId)
            .with("service", facts.service)
            .with("keyed", facts.keyed)
            .with("lease", agent::isValidAt(this->state.lease, BootClock::now()))
            .with("state_index", this->state.map.version.index());
        return;
    }
    const auto service = this->state.services.find(facts.service);
    const auto health = service == this->state.services.end()
                            ? std::map<std::uint32_t, agent::UpstreamHealth>::const_iterator()
                            : service->second.routing.health.find(upstream);
    const bool hasHealth = service != this->state.services.end() && health != service->second.routing.health.end();
    const auto slice = facts.keyed ? agent::findSlice(this->state.map, facts.service, facts.hash) : std::nullopt;
    Log.event(loop::LogLevel::Info, "upstream chosen", loop::RoutineBound)
        .with("request", request.parsed.requestId)
        .with("upstream", info->name())
        .with("agent", info->agent())
        .with("why",
              facts.keyed                      ? "owner of the key"
              : request.parsed.facts.forwarded ? "asked for"
                                               : "least busy")
        .with("epoch", slice ? slice->epoch : 0)
        .with("load", hasHealth ? health->second.load : 0)
        .with("load_age_ms", hasHealth ? BootClock::now() - health->second.loadAt : std::chrono::nanoseconds(0))
        .with("outstanding", hasHealth ? health->second.outstanding : 0);
}

void RequestRunner::recordTime(const RunningRequest &request, const LiveAttempt &attempt)
{
    if (this->needs.metrics == nullptr) {
        return;
    }
    const BootTime now = BootClock::now();
    const std::string &service = request.state.facts.service;
    if (!attempt.local) {
        this->needs.metrics->spent(TimeSpent::OtherAgent, service, now - attempt.begunAt);
        return;
    }
    const BootTime dispatched = attempt.dispatchedAt == BootTime() ? now : attempt.dispatchedAt;
    this->needs.metrics->spent(TimeSpent::Queue, service, dispatched - attempt.begunAt);
    if (attempt.dispatchedAt != BootTime()) {
        this->needs.metrics->spent(TimeSpent::Upstream, service, now - dispatched);
    }
}

} // namespace bergamotweir::process
