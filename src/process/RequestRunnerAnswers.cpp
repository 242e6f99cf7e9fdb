#include "loop/Log.h"
#include "process/AgentMetrics.h"
#include "process/AgentProtocol.h"
#include "process/AgentState.h"
#include "process/LocalUpstream.h"
#include "process/RunningRequest.h"

#include <array>
#include <cstdlib>

namespace bergamotweir::process {

namespace {

using agent::AttemptOutcome;

constexpr loop::Log Log("request");

double readLoad(const net::HttpAnswer &answer)
{
    const std::string *load = net::findHeader(answer.headers, LoadHeader);
    return load == nullptr ? -1 : std::strtod(load->c_str(), nullptr);
}

AttemptOutcome reportedOutcome(const agent::RefusalDetails &refusal)
{
    return refusal.cause == agent::RefusalCause::DeadlinePassed ? AttemptOutcome::TimedOut : refusal.outcome;
}

} // namespace

void RequestRunner::cancel(RunningRequest &request, unsigned attempt)
{
    const auto found = request.attempts.find(attempt);
    if (found == request.attempts.end()) {
        return;
    }
    const LiveAttempt &live = found->second;
    if (live.local) {
        if (LocalUpstream *upstream = this->needs.localUpstream(live.upstream); upstream != nullptr) {
            upstream->cancel(live.ticket);
        }
        this->tickets.erase(live.ticket);
    } else {
        this->peers.cancel(live.call);
    }
    const BootTime now = BootClock::now();
    agent::recordCancelled(
        this->state.services[request.state.facts.service].routing, live.upstream, now - live.begunAt, now);
    request.attempts.erase(found);
}

void RequestRunner::recordRouting(RunningRequest &request, const LiveAttempt &attempt, AttemptOutcome outcome)
{
    agent::ServiceRouting &routing = this->state.services[request.state.facts.service].routing;
    const BootTime now = BootClock::now();
    const auto waited = now - attempt.begunAt;
    switch (outcome) {
    case AttemptOutcome::Answered: {
        const LocalUpstream *local = attempt.local ? this->needs.localUpstream(attempt.upstream) : nullptr;
        const double load = local != nullptr ? local->load() : readLoad(attempt.answer);
        agent::recordAnswered(routing, attempt.upstream, waited, load, now);
        break;
    }
    case AttemptOutcome::Overloaded:
    case AttemptOutcome::Slow:
    case AttemptOutcome::OverLimit:
    case AttemptOutcome::RateLimited:
    case AttemptOutcome::NotOwner:
    case AttemptOutcome::KeyNotHeld:
    case AttemptOutcome::Quarantined:
        agent::recordShed(routing, attempt.upstream, now);
        break;
    default:
        agent::recordFailed(routing, attempt.upstream, waited, now);
        break;
    }
}

void RequestRunner::relay(RunningRequest &request, unsigned attempt)
{
    const LiveAttempt &live = request.attempts.at(attempt);
    const wire::UpstreamInfo *answeredBy = agent::findUpstream(this->state.map, live.upstream);
    Log.event(loop::LogLevel::Info, "request answered", loop::RoutineBound)
        .with("request", request.parsed.requestId)
        .with("status", live.answer.status)
        .with("upstream", answeredBy == nullptr ? "" : answeredBy->name())
        .with("tries", request.state.tries)
        .with("latency_ms", BootClock::now() - request.acceptedAt);
    this->recordCompletion(request, "answered", live.answer.status);
    net::HttpAnswer answer = this->state.protocol->answerForCaller(live.answer);
    if (request.origin == Origin::Peer) {
        const LocalUpstream *local = this->needs.localUpstream(live.upstream);
        answer.headers.push_back({OutcomeHeader, std::string(agent::toText(AttemptOutcome::Answered))});
        answer.headers.push_back({LoadHeader, std::to_string(local == nullptr ? 0 : local->load())});
    } else {
        this->needs.ended({.service = request.state.facts.service,
                           .upstream = live.upstream,
                           .status = answer.status,
                           .latency = BootClock::now() - request.acceptedAt});
    }
    request.exchange->answer(std::move(answer));
}

void RequestRunner::recordCompletion(const RunningRequest &request, std::string_view outcomeLabel, int status)
{
    if (this->needs.metrics == nullptr || request.origin == Origin::Peer) {
        return;
    }
    const table::RouteKind kindFromMethod =
        agent::canRetry(request.state.facts) ? table::RouteKind::Idempotent : table::RouteKind::NonIdempotent;
    this->needs.metrics->requestEnded(
        request.parsed.route, request.parsed.kind.value_or(kindFromMethod), outcomeLabel, status);
    this->needs.metrics->spent(TimeSpent::Whole, request.state.facts.service, BootClock::now() - request.acceptedAt);
    if (request.state.tries > 1) {
        this->needs.metrics->retried(request.state.facts.service,
                                     serviceOf(this->state, request.state.facts.service).retries.tokens);
    }
}

void RequestRunner::refuse(RunningRequest &request, const agent::RefusalDetails &refusal)
{
    static constexpr std::array<const char *, 3> RanNames{"no", "unknown", "yes"};
    Log.event(loop::LogLevel::Warn, "request refused")
        .with("request", request.parsed.requestId)
        .with("service", request.state.facts.service)
        .with("reason", agent::toText(reportedOutcome(refusal)))
        .with("ran", RanNames.at(static_cast<std::size_t>(refusal.ran)))
        .with("tries", request.state.tries)
        .with("took_ms", BootClock::now() - request.acceptedAt)
        .with("deadline_left_ms", request.state.facts.deadline - BootClock::now());
    this->recordCompletion(request, "refused", refusal.status);
    this->returnAdmission(request, refusal);
    if (this->needs.metrics != nullptr) {
        this->needs.metrics->refused(agent::toText(reportedOutcome(refusal)));
    }
    net::HttpAnswer answer = this->state.protocol->refuse({refusal, &this->state.random});
    if (request.origin == Origin::Peer) {
        answer.headers.push_back({OutcomeHeader, std::string(agent::toText(reportedOutcome(refusal)))});
    } else {
        this->needs.ended({.service = request.state.facts.service,
                           .upstream = request.state.tried.empty() ? 0 : request.state.tried.back(),
                           .status = refusal.status,
                           .refused = true,
                           .latency = BootClock::now() - request.acceptedAt});
    }
    request.exchange->answer(std::move(answer));
}

} // namespace bergamotweir::process
