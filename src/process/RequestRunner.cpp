#include "process/RequestRunner.h"

#include "agent/RequestStep.h"
#include "loop/Log.h"
#include "net/Problem.h"
#include "process/AgentMetrics.h"
#include "process/AgentProtocol.h"
#include "process/AgentState.h"
#include "process/BodyIntake.h"
#include "process/LocalUpstream.h"
#include "process/RunningRequest.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace bergamotweir::process {

namespace {

using agent::ActionKind;
using agent::AttemptOutcome;
using agent::EventKind;
using std::chrono::milliseconds;

constexpr loop::Log Log("request");

constexpr std::size_t MaxRunning = 16384;
constexpr std::size_t MaxWaiting = 4096;
/** Subtracted from the deadline at each hop, so that the agent that the caller waits for times out last. */
constexpr milliseconds HopMargin{2};

/** @return how the attempt ended at the other agent; an answer without an outcome header is the upstream's */
AttemptResult readPeerResult(const net::CallResult &result)
{
    if (result.outcome != net::CallOutcome::Answered) {
        return readAttemptResult(result);
    }
    const std::string *outcomeName = net::findHeader(result.answer.headers, OutcomeHeader);
    const std::string *ran = net::findHeader(result.answer.headers, "Request-Ran");
    const bool mayHaveRun = ran == nullptr || *ran != "no";
    if (outcomeName == nullptr) {
        return {AttemptOutcome::Answered, mayHaveRun};
    }
    return {agent::attemptOutcomeFromText(*outcomeName).value_or(AttemptOutcome::ConnectionLost), mayHaveRun};
}

} // namespace

RequestRunner::RequestRunner(loop::EventLoop &loop, AgentState &state, RequestRunnerNeeds needs)
    : loop(loop)
    , state(state)
    , needs(std::move(needs))
    , peers(loop)
{
    this->idPrefix = state.settings.agentName + "-" + state.incarnation + "-";
}

RequestRunner::~RequestRunner() = default;

void RequestRunner::accept(const std::shared_ptr<net::Exchange> &exchange, Origin origin)
{
    const BootTime now = BootClock::now();
    if (this->running.size() >= MaxRunning) {
        const agent::RefusalDetails refusal{
            .outcome = AttemptOutcome::Overloaded, .status = 503, .ran = agent::Ran::No, .retryAfter = true};
        exchange->answer(this->state.protocol->refuse({refusal, &this->state.random}));
        return;
    }
    auto parsed = this->read(exchange->request(), origin, now);
    if (auto *refusal = std::get_if<net::HttpAnswer>(&parsed)) {
        if (origin == Origin::Peer) {
            // This agent's table may be older than the sender's; the sender waits and retries.
            refusal->headers.push_back({OutcomeHeader, std::string(agent::toText(AttemptOutcome::NotOwner))});
        }
        Log.event(loop::LogLevel::Warn, "request not routed")
            .with("request", this->state.protocol->requestId(exchange->request()))
            .with("status", refusal->status)
            .with("revision", this->state.table.routes().revision());
        exchange->answer(std::move(*refusal));
        return;
    }
    if (origin == Origin::Caller) {
        if (auto limitRefusal = this->refuseBeyondLimit(std::get<ParsedRequest>(parsed))) {
            exchange->answer(std::move(*limitRefusal));
            return;
        }
    }
    auto request = std::make_unique<RunningRequest>();
    request->number = ++this->lastRequestNumber;
    request->origin = origin;
    request->exchange = exchange;
    request->parsed = std::move(std::get<ParsedRequest>(parsed));
    if (request->parsed.targets.timeout.count() > 0) {
        request->parsed.facts.queuePriority = agent::queuePriorityOf(request->parsed.targets, now);
    }
    if (origin == Origin::Caller) {
        request->parsed.routeTag = agent::routeTagOf(request->parsed.route);
    }
    request->state.facts = request->parsed.facts;
    request->acceptedAt = now;
    const RequestNumber number = request->number;
    if (origin == Origin::Caller) {
        request->parsed.originService = this->state.settings.service;
    }
    if (request->parsed.suspect) {
        agent::markSuspect(this->state.crashes, request->parsed.fingerprint);
    }
    if (request->parsed.requestId.empty()) {
        request->parsed.requestId = this->idPrefix + std::to_string(number);
    }
    Log.event(loop::LogLevel::Info, "request accepted", loop::RoutineBound)
        .with("request", request->parsed.requestId)
        .with("from", origin == Origin::Caller ? "caller" : "agent")
        .with("route", request->parsed.route)
        .with("revision", this->state.table.routes().revision())
        .with("service", request->parsed.facts.service)
        .with("keyed", request->parsed.facts.keyed)
        .with("deadline_left_ms", request->parsed.facts.deadline - now);
    request->deadlineTimer = this->loop.after(request->parsed.facts.deadline - now, [this, number] {
        this->handle(number, {.kind = EventKind::DeadlinePassed});
    });
    exchange->onAbandoned([this, number] {
        this->handle(number, {.kind = EventKind::CallerDisconnected});
    });
    const bool quarantined = this->state.map.quarantined.contains(request->parsed.fingerprint);
    this->running.emplace(number, std::move(request));
    this->handle(number, {.kind = quarantined ? EventKind::FoundQuarantined : EventKind::Accepted});
}

std::variant<ParsedRequest, net::HttpAnswer>
RequestRunner::read(const net::HttpRequest &request, Origin origin, BootTime now)
{
    if (origin == Origin::Caller && this->state.map.version.index() == 0) {
        // Without this check an agent that has just started, and has not received the services from control yet, would
        // answer 404, which callers don't retry.
        const agent::RefusalDetails refusal{
            .outcome = AttemptOutcome::NotOwner, .status = 503, .ran = agent::Ran::No, .retryAfter = true};
        return this->state.protocol->refuse({refusal, &this->state.random});
    }
    if (origin == Origin::Caller) {
        return this->state.protocol->readRequest(request, this->state.table, this->state.random, now);
    }
    if (net::findHeader(request.headers, ServiceHeader) != nullptr) {
        return readForwarded(request, now);
    }
    return parseRequest(request, this->state.table, origin, now);
}

void RequestRunner::expireAll()
{
    std::vector<RequestNumber> numbers;
    for (const auto &[number, request] : this->running) {
        numbers.push_back(number);
    }
    for (const RequestNumber number : numbers) {
        this->handle(number, {.kind = EventKind::DeadlinePassed});
    }
}

void RequestRunner::handle(RequestNumber number, const agent::RequestEvent &event)
{
    const auto found = this->running.find(number);
    if (found == this->running.end()) {
        return;
    }
    RunningRequest &request = *found->second;
    request.events.push_back(event);
    if (request.isHandlingEvents) {
        return;
    }
    request.isHandlingEvents = true;
    while (!request.events.empty()) {
        const agent::RequestEvent next = request.events.front();
        request.events.pop_front();
        ServiceState &service = serviceOf(this->state, request.state.facts.service);
        const agent::RequestContext context{&service.retries, &service.hedges, &this->state.random};
        for (const agent::RequestAction &action : agent::step(request.state, next, BootClock::now(), context)) {
            this->perform(request, action);
        }
    }
    request.isHandlingEvents = false;
    if (request.state.stage == agent::Stage::Ended && !request.isClaimPending) {
        this->finish(request);
        this->running.erase(number);
    }
}

void RequestRunner::perform(RunningRequest &request, const agent::RequestAction &action)
{
    switch (action.kind) {
    case ActionKind::Claim:
        this->claim(request);
        break;
    case ActionKind::Route:
        this->route(request);
        break;
    case ActionKind::Wait:
        this->wait(request, action.delay);
        break;
    case ActionKind::EnterGate:
        this->enterGate(request, action);
        break;
    case ActionKind::Dispatch:
        this->dispatch(request, action);
        break;
    case ActionKind::Forward:
        this->forward(request, action);
        break;
    case ActionKind::Cancel:
        this->cancel(request, action.attempt);
        break;
    case ActionKind::ArmHedge:
        this->armHedge(request);
        break;
    case ActionKind::Relay:
        this->relay(request, action.attempt);
        break;
    case ActionKind::RelayRecorded:
        this->relayRecorded(request);
        break;
    case ActionKind::Refuse:
        this->refuse(request, action.refusal);
        break;
    case ActionKind::Record:
        this->record(request, action);
        break;
    }
}

void RequestRunner::wait(RunningRequest &request, std::chrono::nanoseconds delay)
{
    if (this->needs.metrics != nullptr && request.state.facts.keyed
        && request.state.lastOutcome == AttemptOutcome::NotOwner) {
        this->needs.metrics->keyedRequestWithoutOwner();
    }
    const RequestNumber number = request.number;
    if (this->waitingCount >= MaxWaiting) {
        this->handle(number, {.kind = EventKind::WaitRefused});
        return;
    }
    this->waitingCount++;
    request.isWaiting = true;
    request.waitTimer = this->loop.after(delay, [this, number] {
        const auto found = this->running.find(number);
        if (found != this->running.end() && found->second->isWaiting) {
            found->second->isWaiting = false;
            this->waitingCount--;
            this->handle(number, {.kind = EventKind::Woken});
        }
    });
}

void RequestRunner::stateChanged()
{
    std::vector<RequestNumber> woken;
    for (const auto &[number, request] : this->running) {
        if (request->isWaiting
            && (request->state.lastOutcome == AttemptOutcome::NotOwner
                || request->state.lastOutcome == AttemptOutcome::NotSent)) {
            woken.push_back(number);
        }
    }
    std::sort(woken.begin(), woken.end());
    for (const RequestNumber number : woken) {
        const auto found = this->running.find(number);
        if (found == this->running.end() || !found->second->isWaiting) {
            continue;
        }
        RunningRequest &request = *found->second;
        this->loop.cancel(request.waitTimer);
        request.isWaiting = false;
        this->waitingCount--;
        this->handle(number, {.kind = EventKind::Woken});
    }
}

void RequestRunner::armHedge(RunningRequest &request)
{
    const RequestNumber number = request.number;
    const auto delay = this->state.services[request.state.facts.service].routing.hedgeDelay;
    this->loop.cancel(request.hedgeTimer);
    request.hedgeTimer = this->loop.after(delay, [this, number] {
        this->handle(number, {.kind = EventKind::HedgeDue});
    });
}

void RequestRunner::enterGate(RunningRequest &request, const agent::RequestAction &action)
{
    LocalUpstream *upstream = this->needs.localUpstream(action.upstream);
    LiveAttempt attempt;
    attempt.upstream = action.upstream;
    attempt.local = true;
    attempt.begunAt = BootClock::now();
    attempt.ticket = ++this->lastTicket;
    const std::uint64_t ticket = attempt.ticket;
    if (request.state.facts.keyed) {
        agent::countRequest(this->state.load, this->state.map, request.state.facts.service, request.state.facts.hash);
    }
    request.attempts[action.attempt] = std::move(attempt);
    this->tickets[ticket] = {request.number, action.attempt};
    agent::recordSent(this->state.services[request.state.facts.service].routing, action.upstream, BootClock::now());
    const bool mayDivert = request.origin == Origin::Peer ? request.parsed.mayDivert : agent::mayDivert(request.state);
    if (mayDivert && upstream != nullptr && (upstream->isSlowNow() || upstream->isRateLimitedNow())) {
        const AttemptOutcome reason = upstream->isSlowNow() ? AttemptOutcome::Slow : AttemptOutcome::RateLimited;
        this->attemptEnded(request.number, action.attempt, reason, false, {});
        return;
    }
    agent::QueuePriority queuePriority = request.state.facts.queuePriority;
    if (upstream != nullptr) {
        queuePriority.isMinorRoute = upstream->countArrival(request.parsed.routeTag);
    }
    const agent::Admission admission = upstream == nullptr
                                           ? agent::Admission::NotServing
                                           : upstream->enter({ticket, request.state.facts.deadline, queuePriority});
    if (admission != agent::Admission::Admitted && upstream != nullptr) {
        upstream->describe(
            Log.event(loop::LogLevel::Info,
                      admission == agent::Admission::Queued ? "request queued" : "turned away at the gate",
                      admission == agent::Admission::Queued ? loop::RoutineBound : loop::FailureBound)
                .with("request", request.parsed.requestId)
                .with("priority", request.state.facts.queuePriority.priority)
                .with("start_within_ms", request.state.facts.queuePriority.dispatchDeadline - BootClock::now()));
    }
    switch (admission) {
    case agent::Admission::Admitted:
        this->handle(request.number, {.kind = EventKind::Admitted, .attempt = action.attempt});
        break;
    case agent::Admission::Queued:
        break;
    case agent::Admission::Overloaded:
        this->attemptEnded(request.number, action.attempt, AttemptOutcome::Overloaded, false, {});
        break;
    case agent::Admission::NotServing:
        this->attemptEnded(request.number, action.attempt, AttemptOutcome::NotOwner, false, {});
        break;
    case agent::Admission::OverLimit:
        this->attemptEnded(request.number, action.attempt, AttemptOutcome::OverLimit, false, {});
        break;
    case agent::Admission::RateLimited:
        this->attemptEnded(request.number, action.attempt, AttemptOutcome::RateLimited, false, {});
        break;
    }
}

void RequestRunner::gateDecided(std::uint64_t ticket, bool admitted)
{
    const auto found = this->tickets.find(ticket);
    if (found == this->tickets.end()) {
        return;
    }
    const auto [number, attempt] = found->second;
    if (admitted) {
        this->handle(number, {.kind = EventKind::Admitted, .attempt = attempt});
    } else {
        this->attemptEnded(number, attempt, AttemptOutcome::Overloaded, false, {});
    }
}

/**
 * Checks quarantine, ownership and lease as they are now, immediately before a request is sent to an upstream.
 * @return Answered when the request may be dispatched, otherwise how the attempt ends
 */
AttemptOutcome RequestRunner::checkDispatch(const RunningRequest &request, std::uint64_t &epoch) const
{
    const agent::RequestFacts &facts = request.state.facts;
    if (this->state.map.quarantined.contains(request.parsed.fingerprint)) {
        return AttemptOutcome::Quarantined;
    }
    if (!agent::canRun(this->state.crashes, request.parsed.fingerprint)) {
        return AttemptOutcome::Overloaded;
    }
    if (!facts.keyed) {
        return AttemptOutcome::Answered;
    }
    agent::Slice slice;
    const agent::OwnershipRefusal refusal = agent::checkOwnership(
        this->state.ownership, this->state.map, this->state.lease, facts.service, facts.hash, BootClock::now(), &slice);
    epoch = slice.epoch;
    return refusal == agent::OwnershipRefusal::None ? AttemptOutcome::Answered : AttemptOutcome::NotOwner;
}

void RequestRunner::dispatch(RunningRequest &request, const agent::RequestAction &action)
{
    LiveAttempt &attempt = request.attempts.at(action.attempt);
    attempt.dispatchedAt = BootClock::now();
    LocalUpstream *upstream = this->needs.localUpstream(action.upstream);
    Dispatch order;
    const AttemptOutcome check =
        upstream == nullptr ? AttemptOutcome::NotOwner : this->checkDispatch(request, order.epoch);
    if (check != AttemptOutcome::Answered) {
        if (upstream != nullptr) {
            upstream->giveBack(attempt.ticket);
        }
        this->attemptEnded(request.number, action.attempt, check, false, {});
        return;
    }
    const net::HttpRequest &received = request.exchange->request();
    order.call.method = received.method;
    order.call.target = received.target;
    order.call.headers = this->state.protocol->headersToForward(received, request.parsed);
    order.call.body = received.body;
    order.requestId = request.parsed.requestId + "." + std::to_string(action.attempt);
    order.service = request.state.facts.service;
    order.keyed = request.state.facts.keyed;
    order.hash = request.state.facts.hash;
    order.fingerprint = request.parsed.fingerprint;
    order.deadline = request.state.facts.deadline;
    order.originService = request.parsed.originService;
    order.workspace = request.parsed.workspace;
    if (this->needs.metrics != nullptr) {
        this->needs.metrics->requestSent(order.service);
    }
    const RequestNumber number = request.number;
    const unsigned id = action.attempt;
    upstream->dispatch(attempt.ticket, std::move(order), [this, number, id](DispatchResult result) {
        this->attemptEnded(
            number, id, result.attemptResult.outcome, result.attemptResult.mayHaveRun, std::move(result.answer));
    });
}

void RequestRunner::forward(RunningRequest &request, const agent::RequestAction &action)
{
    const BootTime now = BootClock::now();
    const wire::UpstreamInfo *upstream = agent::findUpstream(this->state.map, action.upstream);
    const milliseconds left = std::chrono::duration_cast<milliseconds>(request.state.facts.deadline - now) - HopMargin;
    LiveAttempt attempt;
    attempt.upstream = action.upstream;
    attempt.begunAt = now;
    agent::recordSent(this->state.services[request.state.facts.service].routing, action.upstream, BootClock::now());
    const RequestNumber number = request.number;
    const unsigned id = action.attempt;
    if (upstream == nullptr || left.count() <= 0) {
        request.attempts[id] = std::move(attempt);
        this->attemptEnded(number, id, AttemptOutcome::NotSent, false, {});
        return;
    }
    const net::HttpRequest &received = request.exchange->request();
    net::HttpCall call;
    call.address = upstream->peer_address();
    call.method = received.method;
    call.target = received.target;
    call.headers = this->state.protocol->headersToForward(received, request.parsed);
    addForwarding(call.headers, request.parsed, now);
    call.headers.push_back({HopHeader, "1"});
    call.headers.push_back({UpstreamHeader, std::to_string(action.upstream)});
    if (agent::mayDivert(request.state)) {
        call.headers.push_back({DivertHeader, "1"});
    }
    call.headers.push_back({"Request-Id", request.parsed.requestId + "." + std::to_string(id)});
    call.headers.push_back({"Request-Timeout", std::to_string(left.count())});
    if (agent::isSuspect(this->state.crashes, request.parsed.fingerprint)) {
        call.headers.push_back({SuspectHeader, "1"});
    }
    call.body = received.body;
    call.expectContinue = call.body.size() >= LargeBodyBytes;
    call.timeout = request.state.facts.deadline - now;
    attempt.call = this->peers.send(std::move(call), [this, number, id](net::CallResult result) {
        const AttemptResult attemptResult = readPeerResult(result);
        this->attemptEnded(number, id, attemptResult.outcome, attemptResult.mayHaveRun, std::move(result.answer));
    });
    request.attempts[id] = std::move(attempt);
}

void RequestRunner::attemptEnded(
    RequestNumber number, unsigned attempt, AttemptOutcome outcome, bool mayHaveRun, net::HttpAnswer answer)
{
    const auto found = this->running.find(number);
    if (found == this->running.end()) {
        return;
    }
    RunningRequest &request = *found->second;
    const auto live = request.attempts.find(attempt);
    if (live == request.attempts.end()) {
        return;
    }
    live->second.answer = std::move(answer);
    this->recordTime(request, live->second);
    if (outcome != AttemptOutcome::Answered) {
        const ServiceState &service = serviceOf(this->state, request.state.facts.service);
        Log.event(loop::LogLevel::Warn, "attempt failed")
            .with("request", request.parsed.requestId)
            .with("attempt", attempt)
            .with("end", agent::toText(outcome))
            .with("may_have_run", mayHaveRun)
            .with("took_ms", BootClock::now() - live->second.begunAt)
            .with("tries", request.state.tries)
            .with("most_tries", request.state.facts.maxTries)
            .with("retry_budget", service.retries.tokens)
            .with("deadline_left_ms", request.state.facts.deadline - BootClock::now());
    }
    if (outcome == AttemptOutcome::Answered && request.origin == Origin::Caller) {
        this->recordLeaving(live->second.upstream, live->second.answer);
    }
    this->tickets.erase(live->second.ticket);
    this->recordRouting(request, live->second, outcome);
    if (outcome == AttemptOutcome::Crashed || outcome == AttemptOutcome::ConnectionLost) {
        agent::markSuspect(this->state.crashes, request.parsed.fingerprint);
    }
    this->handle(number,
                 {.kind = EventKind::AttemptEnded, .attempt = attempt, .outcome = outcome, .mayHaveRun = mayHaveRun});
}

void RequestRunner::finish(RunningRequest &request)
{
    this->loop.cancel(request.deadlineTimer);
    this->loop.cancel(request.waitTimer);
    this->loop.cancel(request.hedgeTimer);
    if (request.isWaiting) {
        this->waitingCount--;
    }
}

std::size_t RequestRunner::inProgress() const
{
    return this->running.size();
}

} // namespace bergamotweir::process
