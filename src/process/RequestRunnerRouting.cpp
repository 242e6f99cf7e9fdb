#include "loop/Log.h"
#include "process/AgentProtocol.h"
#include "process/AgentState.h"
#include "process/LocalUpstream.h"
#include "process/RequestRunner.h"
#include "process/RunningRequest.h"

namespace bergamotweir::process {

namespace {

constexpr loop::Log Log("request");

} // namespace

void RequestRunner::route(RunningRequest &request)
{
    std::uint32_t upstream = 0;
    if (request.origin == Origin::Peer) {
        upstream = this->routeForwarded(request);
    } else if (request.state.facts.keyed) {
        upstream = this->routeKeyed(request);
    } else {
        upstream = this->routeUnkeyed(request);
    }
    const bool local = upstream != 0 && this->needs.localUpstream(upstream) != nullptr;
    this->logUpstreamChoice(request, upstream);
    this->handle(request.number, {.kind = agent::EventKind::Routed, .upstream = upstream, .local = local});
}

std::uint32_t RequestRunner::routeKeyed(const RunningRequest &request) const
{
    const agent::RequestFacts &facts = request.state.facts;
    const auto slice = agent::findSlice(this->state.map, facts.service, facts.hash);
    const wire::UpstreamInfo *owner = slice ? agent::findUpstream(this->state.map, slice->owner) : nullptr;
    if (owner == nullptr || !agent::takesRequests(this->state.leaving, slice->owner, BootClock::now())) {
        return 0;
    }
    if (!this->state.ownership.ownUpstreams.contains(slice->owner)) {
        return slice->owner;
    }
    const bool isServedHere =
        this->needs.localUpstream(slice->owner) != nullptr
        && agent::ownsLocally(
            this->state.ownership, this->state.map, this->state.lease, facts.service, facts.hash, BootClock::now());
    return isServedHere ? slice->owner : 0;
}

std::uint32_t RequestRunner::routeUnkeyed(RunningRequest &request)
{
    ServiceState &service = this->state.services[request.state.facts.service];
    const BootTime now = BootClock::now();
    if (this->state.leaving.since.empty()) {
        return agent::choose(service.routing, service.candidates, request.state.tried, this->state.random, now);
    }
    const std::vector<agent::Candidate> candidates =
        agent::withoutLeaving(this->state.leaving, service.candidates, now);
    return agent::choose(service.routing, candidates, request.state.tried, this->state.random, now);
}

void RequestRunner::recordLeaving(std::uint32_t upstream, const net::HttpAnswer &answer)
{
    if (!this->state.protocol->readNotice(answer).isLeaving
        || !agent::recordLeaving(this->state.leaving, upstream, BootClock::now())) {
        return;
    }
    const wire::UpstreamInfo *const known = agent::findUpstream(this->state.map, upstream);
    Log.event(loop::LogLevel::Info, "leaving upstream avoided").with("upstream", known == nullptr ? "" : known->name());
}

std::uint32_t RequestRunner::routeForwarded(const RunningRequest &request) const
{
    const agent::RequestFacts &facts = request.state.facts;
    const std::uint32_t requested = request.parsed.requestedUpstream;
    const LocalUpstream *upstream = this->needs.localUpstream(requested);
    if (upstream == nullptr || upstream->announcement().service != facts.service) {
        return 0;
    }
    return facts.keyed && this->routeKeyed(request) != requested ? 0 : requested;
}

} // namespace bergamotweir::process
