#include "control/Coordinator.h"

#include "control/Assignment.h"
#include "control/State.h"
#include "control/VersionOrder.h"

#include <algorithm>
#include <cassert>

namespace bergamotweir::control {

namespace {

/**
 * Full states sent in one turn. After a change of leader every agent comes at once; a leader that serialises hundreds
 * of full states without a pause sends no heartbeat meanwhile and is voted out, and so is the next one.
 */
constexpr std::size_t MostInformedAtOnce = 16;

} // namespace

Coordinator::Coordinator(const CoordinatorSettings &settings, const State &state)
    : settings(settings)
    , state(state)
{
    this->limitAllocator.settings = settings.limits;
}

void Coordinator::lead(BootTime now)
{
    this->follow();
    this->leading = true;
    beginLeading(this->limitAllocator, now);
    // The leader before may have renewed any lease up to the moment a quorum elected this one, and a grant made by
    // this one must not overlap with it: every known agent counts as renewed now.
    for (const auto &[id, upstream] : this->state.upstreams().all()) {
        AgentRecord &agent = this->agentRegistry.getOrCreate(upstream.agent());
        agent.failureDomain = upstream.failure_domain();
        agent.peerAddress = upstream.peer_address();
        agent.incarnation = upstream.agent_incarnation();
        agent.leaseEnd = now + this->settings.lease + this->settings.drift;
        agent.presumedAliveUntil = agent.leaseEnd + this->settings.takeoverGrace;
    }
}

void Coordinator::follow()
{
    for (const auto &[name, agent] : this->agentRegistry.agents) {
        if (agent.session != 0) {
            this->actions.emplace_back(CloseAction{agent.session});
        }
    }
    this->leading = false;
    this->roundInFlight = false;
    this->agentRegistry.clear();
    this->moveTracker.moves.clear();
    this->loads.clear();
    this->waiting = {};
    this->inRound = {};
    this->proposals.clear();
    this->upstreamsInFlight.clear();
    this->watches.clear();
    this->batch = {};
}

void Coordinator::opened(SessionId session, const wire::Hello &hello, BootTime now)
{
    // An agent that has seen a newer version than this replica would go back to an older one.
    if (!this->leading || isBefore(this->state.version(), hello.seen())) {
        this->actions.emplace_back(CloseAction{session});
        return;
    }
    AgentRecord &agent = this->agentRegistry.getOrCreate(hello.agent());
    if (agent.session != 0) {
        this->actions.emplace_back(CloseAction{agent.session});
    }
    if (agent.incarnation != hello.incarnation()) {
        // Two processes under one name: a VM was replaced while its predecessor is frozen and may return.
        const bool movedVm = agent.peerAddress != hello.peer_address();
        const bool ended = this->settings.addressReuseProvesExit && !movedVm;
        if (ended) {
            transferShares(
                this->limitAllocator, incarnationIdOf(agent), incarnationIdOf(agent.name, hello.incarnation()), now);
        } else if (!agent.incarnation.empty() && !isKnown(this->limitAllocator, incarnationIdOf(agent))) {
            agent.hasUnknownPredecessor = true;
        }
        agent.leaseBlockedUntil = ended ? now : agent.leaseEnd;
        for (const std::uint32_t id : this->state.upstreams().ofAgent(agent.name)) {
            const auto work = movedVm ? this->maxWorkTime(*this->state.upstreams().find(id)) : BootClock::duration(0);
            agent.leaseBlockedUntil = ended ? now : std::max(agent.leaseBlockedUntil, agent.leaseEnd + work);
        }
    }
    this->agentRegistry.attachSession(agent, session);
    agent.failureDomain = hello.failure_domain();
    agent.peerAddress = hello.peer_address();
    agent.incarnation = hello.incarnation();
    agent.appliedVersion = hello.seen();
    agent.presumedAliveUntil = std::max(agent.presumedAliveUntil, now + this->settings.lease);
    agent.announceDeadline = now + this->settings.announceGrace;
    agent.startedAt = now - std::chrono::milliseconds(hello.uptime_ms());
    // Guards against agents that take a busy leader for a dead one. It shows when all agents come at once after a loss
    // of power: the full state of the last one is due after seconds, and each that leaves and comes back makes that
    // later. A word at once costs a few bytes and says that waiting is worth it.
    wire::ControlMessage accepted;
    accepted.mutable_accepted();
    this->actions.emplace_back(SendAction{session, std::make_shared<const wire::ControlMessage>(std::move(accepted))});
    this->waiting.opened.push_back(session);
    this->startRound();
}

void Coordinator::closed(SessionId session)
{
    this->agentRegistry.detachSession(session);
}

void Coordinator::received(SessionId session, const wire::AgentMessage &message, BootTime now)
{
    AgentRecord *const agent = this->agentRegistry.findBySession(session);
    if (agent == nullptr) {
        return;
    }
    agent->presumedAliveUntil = std::max(agent->presumedAliveUntil, now + this->settings.lease);
    switch (message.body_case()) {
    case wire::AgentMessage::kRenew:
        this->loads.report(message.renew(), now);
        recordDemand(this->limitAllocator, incarnationIdOf(*agent), message.renew(), now);
        if (isBefore(agent->appliedVersion, message.renew().in_force())) {
            agent->appliedVersion = message.renew().in_force();
        }
        // The round begins at the next tick: one round then carries every renewal of that time, and an idle control
        // group exchanges messages by the tick and not by the number of agents.
        this->waiting.heartbeats[session] = {.sequence = message.renew().sequence(), .arrival = now};
        break;
    case wire::AgentMessage::kUpstream:
        this->receivedUpstream(*agent, message.upstream());
        this->reconcile(*agent, now);
        break;
    case wire::AgentMessage::kReleased:
        this->receivedReleased(*agent, message.released());
        this->commitReleased(now);
        break;
    case wire::AgentMessage::kCrash: {
        wire::Command command;
        *command.mutable_report_crash() = message.crash();
        this->propose(std::move(command), {});
        break;
    }
    case wire::AgentMessage::kHello:
    case wire::AgentMessage::BODY_NOT_SET:
        break;
    }
}

void Coordinator::applied(const Applied &applied)
{
    if (!this->leading || !applied.visible) {
        return;
    }
    add(this->batch, applied.update);
    if (this->batch.isIdle) {
        this->sendBatch();
    }
    for (const wire::UpstreamInfo &upstream : applied.update.upstreams()) {
        this->watches[upstream.service()].dirty = true;
    }
    if (applied.update.has_table()) {
        for (const auto &[service, map] : this->state.services()) {
            // Operators' changes are waited for by people; only restarts are worth waiting out.
            this->watches[service].dirty = true;
            this->watches[service].rebalanceAtOnce = true;
        }
    }
}

void Coordinator::proposed(std::uint64_t proposal, ProposalOutcome outcome)
{
    const auto found = this->proposals.find(proposal);
    if (found == this->proposals.end()) {
        return;
    }
    const Proposal ended = std::move(found->second);
    this->proposals.erase(found);
    if (!ended.previousAgent.empty()) {
        --this->agentRegistry.getOrCreate(ended.previousAgent).forcedMovesInFlight;
    }
    this->upstreamsInFlight.erase(ended.upstream);
    if (!ended.splits.empty()) {
        this->watches[ended.splits].splitting = false;
        this->watches[ended.splits].dirty = true;
    }
    for (const SliceName &slice : ended.slices) {
        this->endMove(slice, outcome);
    }
}

void Coordinator::endMove(const SliceName &slice, ProposalOutcome outcome)
{
    Move &move = this->moveTracker.moves.at(slice);
    if (outcome != ProposalOutcome::Applied) {
        // The lease of an agent that it's taken from stays held back: the change is proposed again.
        move.phase = MovePhase::Released;
        return;
    }
    if (!move.previousAgent.empty()) {
        --this->agentRegistry.getOrCreate(move.previousAgent).forcedMovesInFlight;
    }
    this->moveTracker.moves.erase(slice);
}

void Coordinator::confirmed(bool leads, BootTime now)
{
    if (!this->roundInFlight) {
        return;
    }
    this->roundInFlight = false;
    const Round round = std::exchange(this->inRound, {});
    if (!leads) {
        // Heartbeats come again by themselves; the next round is for tick() to begin.
        this->waiting.opened.insert(this->waiting.opened.end(), round.opened.begin(), round.opened.end());
        return;
    }
    this->sendFullState(round.opened);
    for (const auto &[session, heartbeat] : round.heartbeats) {
        if (AgentRecord *const agent = this->agentRegistry.findBySession(session);
            agent != nullptr && agent->hasFullState) {
            this->renew(*agent, heartbeat, now);
        }
    }
    if (!this->waiting.opened.empty()) {
        this->startRound();
    }
}

void Coordinator::setControls(std::vector<std::string> addresses)
{
    if (addresses == this->controls) {
        return;
    }
    this->controls = std::move(addresses);
    // Guards against agents that look for the next leader among replicas that are gone: told at the session's start
    // alone, they would know the first three for ever, of which two may be down for long. The message claims to be as
    // new as the state, so what waits to be told goes first.
    this->sendBatch();
    wire::ControlMessage message;
    *message.mutable_update()->mutable_version() = this->state.version();
    message.mutable_update()->mutable_controls()->Assign(this->controls.begin(), this->controls.end());
    for (const auto &[name, agent] : this->agentRegistry.agents) {
        if (agent.hasFullState) {
            this->actions.emplace_back(
                SendAction{agent.session, std::make_shared<const wire::ControlMessage>(message)});
        }
    }
}

void Coordinator::tick(BootTime now)
{
    if (!this->leading) {
        return;
    }
    this->lastTick = now;
    this->batch.isIdle = now - this->batch.sentAt >= UpdateBatch::MinInterval;
    if (this->batch.isIdle) {
        this->sendBatch();
    }
    expireLimits(this->limitAllocator, now);
    if (!this->limitAllocator.allSharesKnown) {
        updateAllSharesKnown(this->limitAllocator, this->allLimitsReported(), now);
    }
    this->startRound();
    this->retireLost(now);
    for (auto &[name, agent] : this->agentRegistry.agents) {
        if (agent.session != 0 && !isLost(agent, now)) {
            this->reconcile(agent, now);
            this->retireUnannounced(agent, now);
        }
    }
    this->forceMovesOfLost(now);
    this->planAll(now);
    this->commitReleased(now);
}

std::vector<Action> Coordinator::takeActions()
{
    return std::exchange(this->actions, {});
}

bool Coordinator::isLeading() const
{
    return this->leading;
}

const AgentRegistry &Coordinator::agents() const
{
    return this->agentRegistry;
}

const MoveTracker &Coordinator::moves() const
{
    return this->moveTracker;
}

const LimitAllocator &Coordinator::limits() const
{
    return this->limitAllocator;
}

wire::InForceReport Coordinator::inForce(const wire::Version &version) const
{
    std::set<std::string> expected;
    for (const auto &[id, upstream] : this->state.upstreams().all()) {
        if (upstream.serving()) {
            expected.insert(upstream.agent());
        }
    }
    for (const auto &[name, agent] : this->agentRegistry.agents) {
        if (agent.session != 0) {
            expected.insert(name);
        }
    }
    // A mark that changes nothing is committed, but not sent: agents never reach its version, nor need to.
    const wire::Version &needed =
        isBefore(this->state.visibleVersion(), version) ? this->state.visibleVersion() : version;
    wire::InForceReport report;
    for (const std::string &name : expected) {
        const AgentRecord *const agent = this->agentRegistry.find(name);
        const bool reached = agent != nullptr && !isBefore(agent->appliedVersion, needed);
        *(reached ? report.add_confirmed() : report.add_missing()) = name;
    }
    return report;
}

void Coordinator::sendBatch()
{
    if (this->batch.empty) {
        return;
    }
    wire::ControlMessage message;
    *message.mutable_update() = take(this->batch, this->lastTick);
    const auto shared = std::make_shared<const wire::ControlMessage>(std::move(message));
    for (const auto &[name, agent] : this->agentRegistry.agents) {
        if (agent.hasFullState) {
            this->actions.emplace_back(SendAction{agent.session, shared});
        }
    }
}

void Coordinator::send(SessionId session, wire::ControlMessage message)
{
    // Guards against an agent whose lease is renewed, or which is asked to release, before it hears of a slice that
    // was taken from it: it would go on serving the slice beside the new owner. Nothing overtakes a moved slice.
    if (movesSlices(this->batch)) {
        this->sendBatch();
    }
    this->actions.emplace_back(SendAction{session, std::make_shared<const wire::ControlMessage>(std::move(message))});
}

std::uint64_t Coordinator::propose(wire::Command command, Proposal proposal)
{
    const std::uint64_t name = ++this->lastProposal;
    if (!proposal.previousAgent.empty()) {
        ++this->agentRegistry.getOrCreate(proposal.previousAgent).forcedMovesInFlight;
    }
    if (!proposal.upstream.second.empty()) {
        this->upstreamsInFlight.insert(proposal.upstream);
    }
    this->proposals.emplace(name, std::move(proposal));
    this->actions.emplace_back(ProposeAction{name, std::move(command)});
    return name;
}

void Coordinator::startRound()
{
    if (!this->leading || this->roundInFlight || this->waiting.empty()) {
        return;
    }
    this->inRound.heartbeats = std::exchange(this->waiting.heartbeats, {});
    const std::size_t count = std::min(this->waiting.opened.size(), MostInformedAtOnce);
    const auto end = this->waiting.opened.begin() + static_cast<std::ptrdiff_t>(count);
    this->inRound.opened.assign(this->waiting.opened.begin(), end);
    this->waiting.opened.erase(this->waiting.opened.begin(), end);
    this->roundInFlight = true;
    this->actions.emplace_back(ConfirmAction{});
}

void Coordinator::sendFullState(const std::vector<SessionId> &sessions)
{
    // The changes that wait are in the full state already. Sent later they change nothing: a batch ends with the
    // newest word on each thing that it names.
    // After a change of leader every agent comes at once: they share one message, not a copy of the state each.
    std::shared_ptr<wire::ControlMessage> message;
    for (const SessionId session : sessions) {
        AgentRecord *const agent = this->agentRegistry.findBySession(session);
        if (agent == nullptr) {
            continue;
        }
        if (message == nullptr) {
            message = std::make_shared<wire::ControlMessage>();
            *message->mutable_update() = this->state.fullUpdate();
            message->mutable_update()->mutable_controls()->Assign(this->controls.begin(), this->controls.end());
        }
        this->actions.emplace_back(SendAction{session, message});
        agent->hasFullState = true;
        this->resendRevokes(*agent);
    }
}

} // namespace bergamotweir::control
