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
/** Work that was given up and not confirmed as ended counts until so long past its deadline. */
constexpr milliseconds LingerPastDeadline{1000};
constexpr milliseconds SilenceLook{500};
/** How long a leaving upstream still gets requests: they are on their way while the others hear of it. */
constexpr milliseconds LeavingServes{1000};
/** How long an upstream in a failure domain marked out still gets requests that were on their way or have no other. */
constexpr milliseconds MarkedOutServes{3500};
/** What a VM says of its speed changes several times a second. */
constexpr milliseconds SlownessAge{300};
/** Part of a cold upstream's rate that it is given: over it for a while does no harm, well over it does. */
constexpr double ColdShare = 1.2;
/** Idle connections are closed well before upstreams close them by themselves, so that no request meets a closing one.
 */
constexpr std::chrono::seconds HeartbeatIdleAge{6};
/** Connections kept free for orders and health. */
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
        .maxColdRate(ColdShare * state.table.service(announcement.service).warmupPerSecond)
        .adaptive(!state.protocol->usesHeartbeats)
        .build()
        .value();
}

net::HttpClientSettings clientSettings(const AgentState &state, const Announcement &announcement)
{
    net::HttpClientSettings settings;
    if (state.protocol->usesHeartbeats) {
        settings.maxIdleAge = HeartbeatIdleAge;
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
    , latest(std::move(announcement))
    , events(std::move(events))
    , client(loop, clientSettings(state, this->latest))
    , callGrants(loop,
                 state,
                 this->client,
                 {.changed =
                      [this] {
                          this->events.holdsChanged();
                      }})
    , gate(agent::makeGate(gateSettings(state, this->latest), BootClock::now()))
    , lastAnnounced(BootClock::now())
    , lastAnswer(this->lastAnnounced)
    , alive(std::make_shared<bool>(true))
{
    if (state.protocol->usesHeartbeats) {
        this->healthTimer = this->loop.every(SilenceLook, [this] {
            if (this->isSilent(BootClock::now())) {
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
    this->loop.cancel(this->holdTimer);
}

void LocalUpstream::announced(const Announcement &announcement)
{
    const BootTime now = BootClock::now();
    this->lastAnnounced = now;
    this->lastAnswer = now;
    const bool restarted = announcement.incarnation != this->latest.incarnation;
    if (restarted) {
        Log.info(announcement.name + ": new incarnation, starting cold");
        this->processEnded();
        agent::restart(this->gate, now);
        this->mayResume = false;
    }
    const bool differs = announcement != this->latest;
    this->latest = announcement;
    if (differs) {
        this->applyTable();
        this->events.changed();
    }
    // A crashed process doesn't come back; only a new incarnation does.
    if (restarted || this->present == UpstreamStatus::Frozen) {
        this->setStatus(UpstreamStatus::Serving);
    }
}

void LocalUpstream::applyTable()
{
    agent::configure(this->gate, gateSettings(this->state, this->latest));
    this->moveQueue();
}

// Guards against refusals after each planned restart of an agent. They show as seconds of 503 beside an upstream that
// is warm all along: the new gate starts at one request. What the stopping agent told control about this very
// incarnation still holds; a killed agent tells nothing, and a new incarnation starts cold.
void LocalUpstream::resumeLimit()
{
    if (!this->mayResume || this->state.map.version.index() == 0) {
        return;
    }
    this->mayResume = false;
    const wire::UpstreamInfo *const known = agent::findUpstream(this->state.map, this->id());
    if (known == nullptr || known->incarnation() != this->latest.incarnation) {
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
    return this->present == UpstreamStatus::Serving && !this->isOutOfService(BootClock::now());
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
    event.with("upstream", this->latest.name)
        .with("in_progress", this->gate.inProgress)
        .with("waiting", static_cast<std::uint64_t>(this->gate.queue.size()))
        .with("allowed",
              this->gate.settings.adaptive ? agent::allowedConcurrency(this->gate.limit) : this->gate.settings.ceiling)
        .with("service_time_ms", this->gate.serviceTime)
        .with("slowness", this->slowness)
        .with("slowness_age_ms", BootClock::now() - this->slownessAt)
        .with("cold", BootClock::now() < this->gate.coldUntil);
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
                                              this->latest.instance});
    entry.address = upstreamAddress(this->latest);
    call.address = entry.address;
    call.timeout = entry.request.deadline - now;
    entry.call = this->client.send(std::move(call), [this, ticket](net::CallResult result) {
        this->answered(ticket, std::move(result));
    });
    const bool inserted = this->work.emplace(ticket, std::move(entry)).second;
    assert(inserted);
    static_cast<void>(inserted);
}

void LocalUpstream::giveBack(agent::TicketId)
{
    agent::finish(this->gate, agent::WorkOutcome::Lost, {}, BootClock::now());
    this->moveQueue();
}

void LocalUpstream::cancel(agent::TicketId ticket)
{
    if (agent::cancelQueued(this->gate, ticket)) {
        return;
    }
    const auto found = this->work.find(ticket);
    if (found == this->work.end() || found->second.lingering) {
        return;
    }
    found->second.done = nullptr;
    const net::CallId call = found->second.call;
    if (this->state.protocol->usesHeartbeats) {
        // Closing the connection ends the work; what the upstream holds it tells itself.
        this->endWork(ticket, agent::WorkOutcome::Lost, false);
    } else {
        this->linger(ticket);
    }
    this->client.cancel(call);
}

void LocalUpstream::answered(agent::TicketId ticket, net::CallResult result)
{
    const auto found = this->work.find(ticket);
    if (found == this->work.end() || found->second.lingering) {
        return;
    }
    const AttemptResult attempt = this->state.protocol->readAttemptResult(result);
    const auto done = std::exchange(found->second.done, nullptr);
    if (result.outcome == net::CallOutcome::Answered) {
        this->lastAnswer = BootClock::now();
        if (const auto said = this->state.protocol->readSlowness(result.answer)) {
            this->slowness = *said;
            this->slownessAt = this->lastAnswer;
        }
        if (attempt.outcome == agent::AttemptOutcome::KeyNotHeld) {
            this->handleKeyNotHeld(found->second.request);
        }
        const bool shed = attempt.outcome == agent::AttemptOutcome::Overloaded;
        this->endWork(ticket, shed ? agent::WorkOutcome::Shed : agent::WorkOutcome::Answered, attempt.mayHaveRun);
    } else if (!attempt.mayHaveRun) {
        this->endWork(ticket, agent::WorkOutcome::Lost, false);
        this->checkHealth(true);
    } else {
        const bool late = result.outcome == net::CallOutcome::TimedOut;
        found->second.broken =
            result.outcome == net::CallOutcome::ConnectionLost || result.outcome == net::CallOutcome::TruncatedAnswer;
        found->second.outcome = late ? agent::WorkOutcome::TimedOut : agent::WorkOutcome::Lost;
        if (late && this->state.protocol->usesHeartbeats) {
            this->endWork(ticket, agent::WorkOutcome::TimedOut, false);
        } else {
            this->linger(ticket);
            this->checkHealth(true);
        }
    }
    if (done) {
        done({attempt, std::move(result.answer)});
    }
}

/**
 * Guard against two owners of a key. It shows when a request that was given up still runs at the upstream while its
 * slice has been released to another. The work counts until the upstream confirms the cancellation or ended, or its
 * deadline, which the upstream honours, is well past.
 */
void LocalUpstream::linger(agent::TicketId ticket)
{
    this->work.at(ticket).lingering = true;
    if (!this->state.protocol->usesHeartbeats) {
        this->askToCancel(ticket);
    }
}

void LocalUpstream::askToCancel(agent::TicketId ticket)
{
    const auto found = this->work.find(ticket);
    if (found == this->work.end()) {
        return;
    }
    if (BootClock::now() >= found->second.request.deadline + LingerPastDeadline) {
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
                                  this->askToCancel(ticket);
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
        if (outcome == agent::WorkOutcome::Answered && answeredInFull) {
            agent::countAnswer(this->state.load, ended.request.service, now - ended.dispatchedAt);
        }
    }
    agent::recordEnd(this->state.crashes, ended.request.fingerprint, answeredInFull);
    agent::finish(this->gate, outcome, now - ended.dispatchedAt, now);
    this->moveQueue();
    this->events.workEnded();
}

/** @return whether it gets no work any more: it left, or its failure domain was marked out, a while ago */
bool LocalUpstream::isOutOfService(BootTime now) const
{
    const bool left = this->leavingSince != BootTime() && now - this->leavingSince >= LeavingServes;
    const bool out = this->state.domainOutSince != BootTime() && now - this->state.domainOutSince >= MarkedOutServes;
    return left || out;
}

bool LocalUpstream::takesWork() const
{
    return this->present == UpstreamStatus::Serving && this->leavingSince == BootTime();
}

void LocalUpstream::setStatus(UpstreamStatus status)
{
    if (status == this->present) {
        return;
    }
    this->present = status;
    Log.info(this->latest.name + toText(status));
    this->events.changed();
    this->moveQueue();
}

void LocalUpstream::moveQueue()
{
    agent::GateDecisions moves;
    if (this->present == UpstreamStatus::Serving) {
        moves = agent::processQueue(this->gate, BootClock::now());
    } else {
        moves.shed = agent::removeAllQueued(this->gate);
    }
    this->armQueueTimer();
    for (const agent::TicketId ticket : moves.shed) {
        this->events.decided(ticket, false);
    }
    for (const agent::TicketId ticket : moves.admitted) {
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
        this->moveQueue();
    });
}

wire::UpstreamInfo LocalUpstream::info() const
{
    wire::UpstreamInfo info;
    info.set_service(this->latest.service);
    info.set_name(this->latest.name);
    info.set_failure_domain(this->state.settings.failureDomain);
    info.set_agent(this->state.settings.agentName);
    info.set_peer_address(this->state.peerAddress);
    info.set_incarnation(this->latest.incarnation);
    info.set_slots(this->latest.slots);
    info.set_connections(this->latest.connections);
    info.set_checks_grants(this->latest.checksGrants);
    info.set_serving(this->takesWork() && !this->state.stopping);
    info.set_operator_address(this->state.operatorAddress);
    info.set_address(this->latest.address);
    info.set_started_unix_ms(static_cast<std::uint64_t>(this->latest.startedAt.count()));
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
        if (known != nullptr && known->service() == this->latest.service && known->name() == this->latest.name) {
            return own;
        }
    }
    return 0;
}

const Announcement &LocalUpstream::announcement() const
{
    return this->latest;
}

UpstreamStatus LocalUpstream::status() const
{
    return this->present;
}

double LocalUpstream::load() const
{
    const bool fresh = BootClock::now() - this->slownessAt < SlownessAge;
    return agent::load(this->gate) * (fresh ? this->slowness : 1);
}

const agent::AdaptiveLimit &LocalUpstream::limit() const
{
    return this->gate.limit;
}

std::uint64_t LocalUpstream::connectionsOpened() const
{
    return this->client.connectionsOpened();
}

std::size_t LocalUpstream::inProgress() const
{
    return this->work.size();
}

} // namespace bergamotweir::process
