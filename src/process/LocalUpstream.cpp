#include "process/LocalUpstream.h"

#include "loop/Log.h"
#include "process/AgentProtocol.h"
#include "process/AgentState.h"
#include "process/LocalWork.h"

#include <algorithm>
#include <cassert>

namespace bergamotweir::process {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds HealthInterval{100};
constexpr milliseconds CancelInterval{100};
/** Time past its deadline for which abandoned work counts if its end isn't confirmed. */
constexpr milliseconds AbandonedWorkGrace{1000};
constexpr milliseconds SilenceCheckInterval{500};
/** Time for which an upstream in a failure domain marked out still gets requests in flight or without alternative. */
constexpr milliseconds MarkedOutServeTime{3500};
/** Maximum age of a reported slowness: a VM's speed changes several times a second. */
constexpr milliseconds MaxSlownessAge{300};
/** Factor on the warm-up rate of a cold upstream: slightly over the rate is harmless for a while, well over it isn't.
 */
constexpr double ColdRateFactor = 1.2;
/** Idle connections are closed well before upstreams close them, so that no request is sent on a closing one. */
constexpr std::chrono::seconds HeartbeatMaxIdleAge{6};
/** Connections reserved for orders and health checks. */
constexpr unsigned OrderConnections = 4;

constexpr loop::Log Log("upstream");

const char *toText(UpstreamStatus status)
{
    switch (status) {
    case UpstreamStatus::Serving:
        return ": serving";
    case UpstreamStatus::Crashed:
        return ": crashed";
    case UpstreamStatus::Frozen:
        break;
    }
    return ": does not answer";
}

unsigned connectionsFor(const Announcement &announcement)
{
    return std::max(announcement.connections, OrderConnections + 1) - OrderConnections;
}

agent::GateSettings gateSettings(const AgentState &state, const Announcement &announcement)
{
    const table::UpstreamPolicy policy =
        state.table.upstream(announcement.service, state.settings.failureDomain, announcement.name);
    const bool limited = policy.limit != 0;
    return agent::GateSettingsBuilder()
        .ceiling(limited ? policy.limit : announcement.slots)
        .ceilingIsTableLimit(limited)
        .connections(connectionsFor(announcement))
        .maxColdRate(ColdRateFactor * state.table.service(announcement.service).warmupPerSecond)
        .adaptive(!state.protocol->usesHeartbeats)
        .build()
        .value();
}

net::HttpClientSettings clientSettings(const AgentState &state, const Announcement &announcement)
{
    net::HttpClientSettings settings;
    if (state.protocol->usesHeartbeats) {
        settings.maxIdleAge = HeartbeatMaxIdleAge;
    }
    settings.maxIdleConnections = announcement.connections;
    settings.maxConnectionsPerPeer = announcement.connections;
    return settings;
}

} // namespace

LocalUpstream::LocalUpstream(loop::EventLoop &loop,
                             AgentState &state,
                             Announcement announcement,
                             LocalUpstreamEvents events)
    : loop(loop)
    , state(state)
    , latestAnnouncement(std::move(announcement))
    , events(std::move(events))
    , client(loop, clientSettings(state, this->latestAnnouncement))
    , callGrants(loop,
                 state,
                 this->client,
                 {.changed =
                      [this] {
                          this->events.heldKeysChanged();
                      }})
    , gate(agent::makeGate(gateSettings(state, this->latestAnnouncement), BootClock::now()))
    , lastAnnouncedAt(BootClock::now())
    , lastAnswerAt(this->lastAnnouncedAt)
    , alive(std::make_shared<bool>(true))
{
    if (state.protocol->usesHeartbeats) {
        this->healthTimer = this->loop.every(SilenceCheckInterval, [this] {
            if (this->isUnresponsive(BootClock::now())) {
                this->setStatus(UpstreamStatus::Frozen);
            }
        });
        return;
    }
    this->healthTimer = this->loop.every(HealthInterval, [this] {
        this->checkHealth(false);
    });
}

LocalUpstream::~LocalUpstream()
{
    *this->alive = false;
    this->loop.cancel(this->healthTimer);
    this->loop.cancel(this->queueTimer);
    this->loop.cancel(this->heldKeysTimer);
}

void LocalUpstream::applyAnnouncement(const Announcement &announcement)
{
    const BootTime now = BootClock::now();
    this->lastAnnouncedAt = now;
    this->lastAnswerAt = now;
    const bool restarted = announcement.incarnation != this->latestAnnouncement.incarnation;
    if (restarted) {
        Log.info(announcement.name + ": new incarnation, starting cold");
        this->processEnded(agent::HoldEnd::NewIncarnation);
        agent::restart(this->gate, now);
        this->canRestoreLimit = false;
        this->forgetNotice();
    }
    const bool differs = announcement != this->latestAnnouncement;
    this->latestAnnouncement = announcement;
    if (differs) {
        this->applyTable();
        this->events.changed();
    }
    // A crashed process can't resume; only a new incarnation ends the status Crashed.
    if (restarted || this->currentStatus == UpstreamStatus::Frozen) {
        this->setStatus(UpstreamStatus::Serving);
    }
}

void LocalUpstream::applyTable()
{
    agent::configure(this->gate, gateSettings(this->state, this->latestAnnouncement));
    this->dispatchQueue();
}

// Without this, each planned restart of an agent beside a warm upstream would cause seconds of 503 refusals, because
// the new gate starts at one request. The limit that the stopping agent reported to control is valid for the same
// incarnation of the upstream only; a killed agent reports none, and a new incarnation starts cold.
void LocalUpstream::restoreLearnedLimit()
{
    if (!this->canRestoreLimit || this->state.map.version.index() == 0) {
        return;
    }
    this->canRestoreLimit = false;
    const wire::UpstreamInfo *const known = agent::findUpstream(this->state.map, this->id());
    if (known == nullptr || known->incarnation() != this->latestAnnouncement.incarnation) {
        return;
    }
    agent::restoreLimit(
        this->gate.limit,
        {.limit = known->learned_limit(), .reference = std::chrono::microseconds(known->learned_latency_us())},
        BootClock::now());
}

agent::Admission LocalUpstream::enter(const agent::Ticket &ticket)
{
    if (!this->isServing()) {
        return agent::Admission::NotServing;
    }
    const agent::Admission admission = agent::requestAdmission(this->gate, ticket, BootClock::now());
    if (admission == agent::Admission::Queued) {
        this->armQueueTimer();
    }
    return admission;
}

bool LocalUpstream::isServing() const
{
    return this->currentStatus == UpstreamStatus::Serving && !this->isOutOfService(BootClock::now());
}

agent::Admission LocalUpstream::previewAdmission(const agent::Ticket &ticket) const
{
    return this->isServing() ? agent::previewAdmission(this->gate, ticket, BootClock::now())
                             : agent::Admission::NotServing;
}

std::chrono::nanoseconds LocalUpstream::meanServiceTime() const
{
    return this->gate.serviceTime;
}

void LocalUpstream::describe(loop::LogEvent &event) const
{
    event.with("upstream", this->latestAnnouncement.name)
        .with("in_progress", this->gate.inProgress)
        .with("waiting", static_cast<std::uint64_t>(this->gate.queue.size()))
        .with("allowed",
              this->gate.settings.adaptive ? agent::allowedConcurrency(this->gate.limit) : this->gate.settings.ceiling)
        .with("service_time_ms", this->gate.serviceTime)
        .with("slowness", this->slowness)
        .with("slowness_age_ms", BootClock::now() - this->slownessAt)
        .with("cold", BootClock::now() < this->gate.coldUntil)
        .with("rate_limit", this->gate.rateLimit.perSecond.value_or(0));
}

void LocalUpstream::dispatch(agent::TicketId ticket, Dispatch request, std::function<void(DispatchResult)> done)
{
    const BootTime now = BootClock::now();
    Work entry;
    entry.request = std::move(request);
    entry.done = std::move(done);
    entry.dispatchedAt = now;
    if (entry.request.keyed) {
        agent::beginWork(this->state.ownership, entry.request.service, entry.request.hash);
    }
    agent::recordBegin(this->state.crashes, entry.request.fingerprint);
    net::HttpCall call = std::move(entry.request.call);
    this->state.protocol->addRequestMetadata(call,
                                             {std::max(entry.request.epoch, this->grantedEpoch),
                                              entry.request.requestId,
                                              std::chrono::duration_cast<milliseconds>(entry.request.deadline - now),
                                              entry.request.originService,
                                              entry.request.workspace,
                                              this->latestAnnouncement.instance});
    entry.address = upstreamAddress(this->latestAnnouncement);
    call.address = entry.address;
    call.timeout = entry.request.deadline - now;
    this->sentCount++;
    entry.call = this->client.send(std::move(call), [this, ticket](net::CallResult result) {
        this->answered(ticket, std::move(result));
    });
    const bool inserted = this->work.emplace(ticket, std::move(entry)).second;
    assert(inserted);
    static_cast<void>(inserted);
}

void LocalUpstream::giveBack(agent::TicketId)
{
    const BootTime now = BootClock::now();
    agent::returnUnsent(this->gate, now);
    agent::finish(this->gate, agent::WorkOutcome::Lost, {}, now);
    this->dispatchQueue();
}

void LocalUpstream::cancel(agent::TicketId ticket)
{
    if (agent::cancelQueued(this->gate, ticket)) {
        return;
    }
    const auto found = this->work.find(ticket);
    if (found == this->work.end() || found->second.isAbandoned) {
        return;
    }
    found->second.done = nullptr;
    const net::CallId call = found->second.call;
    if (this->state.protocol->usesHeartbeats) {
        // Closing the connection ends the work; the upstream's heartbeats report the keys that it still holds.
        this->endWork(ticket, agent::WorkOutcome::Lost, false);
    } else {
        this->abandon(ticket);
    }
    this->client.cancel(call);
}

void LocalUpstream::answered(agent::TicketId ticket, net::CallResult result)
{
    const auto found = this->work.find(ticket);
    if (found == this->work.end() || found->second.isAbandoned) {
        return;
    }
    const AttemptResult attempt = this->state.protocol->readAttemptResult(result);
    const auto done = std::exchange(found->second.done, nullptr);
    if (result.outcome == net::CallOutcome::Answered) {
        this->lastAnswerAt = BootClock::now();
        if (const auto reported = this->state.protocol->readSlowness(result.answer)) {
            this->slowness = *reported;
            this->slownessAt = this->lastAnswerAt;
        }
        this->readNotice(result.answer, found->second.dispatchedAt);
        if (attempt.outcome == agent::AttemptOutcome::KeyNotHeld) {
            this->handleKeyNotHeld(found->second.request);
        }
        const bool shed = attempt.outcome == agent::AttemptOutcome::Overloaded;
        this->endWork(ticket, shed ? agent::WorkOutcome::Shed : agent::WorkOutcome::Answered, attempt.mayHaveRun);
    } else if (!attempt.mayHaveRun) {
        this->endWork(ticket, agent::WorkOutcome::Lost, false);
        this->checkHealth(true);
    } else {
        const bool isTimeout = result.outcome == net::CallOutcome::TimedOut;
        found->second.connectionLost =
            result.outcome == net::CallOutcome::ConnectionLost || result.outcome == net::CallOutcome::TruncatedAnswer;
        found->second.outcome = isTimeout ? agent::WorkOutcome::TimedOut : agent::WorkOutcome::Lost;
        if (isTimeout && this->state.protocol->usesHeartbeats) {
            this->endWork(ticket, agent::WorkOutcome::TimedOut, false);
        } else {
            this->abandon(ticket);
            this->checkHealth(true);
        }
    }
    if (done) {
        done({attempt, std::move(result.answer)});
    }
}

/**
 * Keeps cancelled or failed work counted, so that a key never has two owners: the request may still run at the
 * upstream, and its slice must not be released to another one meanwhile. The work counts until the upstream confirms
 * the cancellation or has ended, or until well past the deadline, which the upstream observes.
 */
void LocalUpstream::abandon(agent::TicketId ticket)
{
    this->work.at(ticket).isAbandoned = true;
    if (!this->state.protocol->usesHeartbeats) {
        this->requestCancel(ticket);
    }
}

void LocalUpstream::requestCancel(agent::TicketId ticket)
{
    const auto found = this->work.find(ticket);
    if (found == this->work.end()) {
        return;
    }
    if (BootClock::now() >= found->second.request.deadline + AbandonedWorkGrace) {
        this->endWork(ticket, found->second.outcome, false);
        return;
    }
    this->client.send(cancelCall(found->second.address, found->second.request.requestId),
                      [this, ticket](const net::CallResult &result) {
                          const auto waiting = this->work.find(ticket);
                          if (waiting == this->work.end()) {
                              return;
                          }
                          if (result.outcome == net::CallOutcome::Answered) {
                              this->endWork(ticket, waiting->second.outcome, false);
                              return;
                          }
                          this->loop.after(CancelInterval, [this, ticket, alive = this->alive] {
                              if (*alive) {
                                  this->requestCancel(ticket);
                              }
                          });
                      });
}

void LocalUpstream::endWork(agent::TicketId ticket, agent::WorkOutcome outcome, bool answeredInFull)
{
    const auto found = this->work.find(ticket);
    const Work ended = std::move(found->second);
    this->work.erase(found);
    const BootTime now = BootClock::now();
    if (ended.request.keyed) {
        agent::endWork(this->state.ownership, ended.request.service, ended.request.hash);
    }
    if (outcome == agent::WorkOutcome::Answered && answeredInFull) {
        agent::countAnswer(this->state.load, ended.request.service, now - ended.dispatchedAt);
        agent::recordWork(this->workTime, now - ended.dispatchedAt);
    }
    agent::recordEnd(this->state.crashes, ended.request.fingerprint, answeredInFull);
    agent::finish(this->gate, outcome, now - ended.dispatchedAt, now);
    this->dispatchQueue();
    this->events.workEnded();
}

/** @return whether it gets no more work: the serve time since its drain or its failure domain's mark out has passed */
bool LocalUpstream::isOutOfService(BootTime now) const
{
    const bool isDrained = this->isLeaving() && now - this->leavingSince >= agent::LeavingServeTime;
    const bool isMarkedOut =
        this->state.domainMarkedOutAt != BootTime() && now - this->state.domainMarkedOutAt >= MarkedOutServeTime;
    return isDrained || isMarkedOut;
}

bool LocalUpstream::takesWork() const
{
    return this->currentStatus == UpstreamStatus::Serving && !this->isLeaving();
}

void LocalUpstream::setStatus(UpstreamStatus status)
{
    if (status == this->currentStatus) {
        return;
    }
    this->currentStatus = status;
    Log.info(this->latestAnnouncement.name + toText(status));
    this->events.changed();
    this->dispatchQueue();
}

void LocalUpstream::dispatchQueue()
{
    agent::GateDecisions decisions;
    if (this->currentStatus == UpstreamStatus::Serving) {
        decisions = agent::processQueue(this->gate, BootClock::now());
    } else {
        decisions.shed = agent::removeAllQueued(this->gate);
    }
    this->armQueueTimer();
    for (const agent::TicketId ticket : decisions.shed) {
        this->events.decided(ticket, false);
    }
    for (const agent::TicketId ticket : decisions.admitted) {
        this->events.decided(ticket, true);
    }
}

void LocalUpstream::armQueueTimer()
{
    this->loop.cancel(this->queueTimer);
    this->queueTimer = 0;
    const BootTime next = agent::nextDispatchAt(this->gate);
    if (next == BootTime::max()) {
        return;
    }
    const auto delay = std::max<std::chrono::nanoseconds>(next - BootClock::now(), std::chrono::microseconds(100));
    this->queueTimer = this->loop.after(delay, [this] {
        this->queueTimer = 0;
        this->dispatchQueue();
    });
}

wire::UpstreamInfo LocalUpstream::info() const
{
    wire::UpstreamInfo info;
    info.set_service(this->latestAnnouncement.service);
    info.set_name(this->latestAnnouncement.name);
    info.set_failure_domain(this->state.settings.failureDomain);
    info.set_agent(this->state.settings.agentName);
    info.set_peer_address(this->state.peerAddress);
    info.set_incarnation(this->latestAnnouncement.incarnation);
    info.set_slots(this->latestAnnouncement.slots);
    info.set_connections(this->latestAnnouncement.connections);
    info.set_checks_grants(this->latestAnnouncement.checksGrants);
    info.set_serving(this->takesWork() && !this->state.stopping);
    info.set_leaving(this->isLeaving());
    info.set_rate_limit(this->reportedRateLimit.value_or(-1));
    info.set_operator_address(this->state.operatorAddress);
    info.set_address(this->latestAnnouncement.address);
    info.set_started_unix_ms(static_cast<std::uint64_t>(this->latestAnnouncement.startedAt.count()));
    if (this->state.stopping) {
        const agent::LearnedLimit learned = agent::learnedLimit(this->gate.limit);
        const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(learned.reference);
        info.set_learned_limit(learned.limit);
        info.set_learned_latency_us(static_cast<std::uint32_t>(latency.count()));
    }
    return info;
}

std::uint32_t LocalUpstream::id() const
{
    for (const std::uint32_t own : this->state.ownership.ownUpstreams) {
        const wire::UpstreamInfo *known = agent::findUpstream(this->state.map, own);
        if (known != nullptr && known->service() == this->latestAnnouncement.service
            && known->name() == this->latestAnnouncement.name) {
            return own;
        }
    }
    return 0;
}

const Announcement &LocalUpstream::announcement() const
{
    return this->latestAnnouncement;
}

UpstreamStatus LocalUpstream::status() const
{
    return this->currentStatus;
}

double LocalUpstream::load() const
{
    const bool isFresh = BootClock::now() - this->slownessAt < MaxSlownessAge;
    const double slotLoad = agent::load(this->gate) * (isFresh ? this->slowness : 1);
    return std::max(slotLoad, agent::rateLoad(this->gate.rateLimit, this->gate.queue.size(), BootClock::now()));
}

bool LocalUpstream::countArrival(agent::RouteTag route)
{
    const BootTime now = BootClock::now();
    agent::countRequest(this->routeShares, route, now);
    return agent::isMinorRoute(this->routeShares, route, now);
}

bool LocalUpstream::isSlowNow() const
{
    const auto service = this->state.serviceWork.find(this->latestAnnouncement.service);
    const BootTime now = BootClock::now();
    const bool isFresh = now - this->slownessAt < MaxSlownessAge;
    return service != this->state.serviceWork.end()
           && agent::isSlowNow(this->workTime, isFresh ? this->slowness : 1, service->second, now);
}

const agent::AdaptiveLimit &LocalUpstream::limit() const
{
    return this->gate.limit;
}

std::uint64_t LocalUpstream::connectionsOpened() const
{
    return this->client.connectionsOpened();
}

std::uint64_t LocalUpstream::requestsSent() const
{
    return this->sentCount;
}

std::size_t LocalUpstream::inProgress() const
{
    return this->work.size();
}

} // namespace bergamotweir::process
