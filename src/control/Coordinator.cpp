#include "control/Coordinator.h"

#include "control/Assignment.h"
#include "control/State.h"
#include "control/VersionOrder.h"

#include <algorithm>
#include <cassert>

namespace bergamotweir::control {

namespace {

/**
 * Maximum number of full states sent in one confirmation round. After a change of leader all agents connect at once. A
 * leader that serialises hundreds of full states without a break sends no heartbeats meanwhile and loses its
 * leadership, and so does the next one.
 */
constexpr std::size_t MaxFullStatesPerRound = 16;

constexpr std::chrono::seconds WorkSummaryInterval{1};

/** Several times within the shortest time after which an agent takes a replica for a silent one. */
constexpr std::chrono::milliseconds AcceptanceInterval{300};

std::shared_ptr<const wire::ControlMessage> makeAcceptance()
{
    wire::ControlMessage message;
    message.mutable_accepted();
    return std::make_shared<const wire::ControlMessage>(std::move(message));
}

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
    // The previous leader may have renewed any lease until a quorum elected this one, and grants made by this leader
    // must not overlap with such a lease. Therefore every known agent is treated as renewed now.
    for (const auto &[id, upstream] : this->state.upstreams().all()) {
        AgentRecord &agent = this->agentRegistry.getOrCreate(upstream.agent());
        agent.failureDomain = upstream.failure_domain();
        agent.peerAddress = upstream.peer_address();
        agent.incarnation = upstream.agent_incarnation();
        agent.leaseUntil = now + this->settings.lease + this->settings.drift;
        agent.presumedAliveUntil = agent.leaseUntil + this->settings.takeoverGrace;
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
    this->loadTracker.clear();
    this->nextRound = {};
    this->currentRound = {};
    this->proposals.clear();
    this->upstreamsInFlight.clear();
    this->unsettledAgents.clear();
    this->fullState.reset();
    this->serviceWork.clear();
    this->workSummarizedAt = {};
    this->allAgentsCheckAt = {};
    this->servicePlans.clear();
    this->batch = {};
}

void Coordinator::opened(SessionId session, const wire::Hello &hello, BootTime now)
{
    // An agent that has seen a newer version than this replica has must not be sent an older state.
    if (!this->leading || isBefore(this->state.version(), hello.seen())) {
        this->actions.emplace_back(CloseAction{session});
        return;
    }
    AgentRecord &agent = this->agentRegistry.getOrCreate(hello.agent());
    if (agent.session != 0) {
        this->actions.emplace_back(CloseAction{agent.session});
    }
    if (agent.incarnation != hello.incarnation()) {
        // Two processes use one name: a VM was replaced, and the predecessor is frozen and may resume.
        const bool isAtNewAddress = agent.peerAddress != hello.peer_address();
        const bool predecessorExited = this->settings.addressReuseProvesExit && !isAtNewAddress;
        if (predecessorExited) {
            transferShares(
                this->limitAllocator, incarnationIdOf(agent), incarnationIdOf(agent.name, hello.incarnation()), now);
        } else if (!agent.incarnation.empty() && !isKnown(this->limitAllocator, incarnationIdOf(agent))) {
            agent.hasUnknownPredecessor = true;
        }
        agent.leaseBlockedUntil = predecessorExited ? now : agent.leaseUntil;
        for (const std::uint32_t id : this->state.upstreams().ofAgent(agent.name)) {
            const auto work =
                isAtNewAddress ? this->maxWorkTime(*this->state.upstreams().find(id)) : BootClock::duration(0);
            agent.leaseBlockedUntil =
                predecessorExited ? now : std::max(agent.leaseBlockedUntil, agent.leaseUntil + work);
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
    this->unsettledAgents.insert(agent.name);
    // Accepted is sent at once, for a few bytes, so that agents don't take a busy leader for a failed one. After a loss
    // of power all agents connect at once, and the last full state is sent only after seconds. Each agent that
    // disconnects and connects again would delay it further.
    this->actions.emplace_back(SendAction{session, makeAcceptance()});
    this->nextRound.opened.push_back(session);
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
        this->loadTracker.report(message.renew(), now);
        recordDemand(this->limitAllocator, incarnationIdOf(*agent), message.renew(), now);
        if (isBefore(agent->appliedVersion, message.renew().in_force())) {
            agent->appliedVersion = message.renew().in_force();
        }
        // The round begins at the next tick. One round then serves all renewals since the last tick, and the message
        // rate of an idle control group depends on the tick and not on the number of agents.
        this->nextRound.heartbeats[session] = {.sequence = message.renew().sequence(), .arrivedAt = now};
        break;
    case wire::AgentMessage::kUpstream:
        this->receivedUpstream(*agent, message.upstream());
        this->reconcile(*agent, now);
        break;
    case wire::AgentMessage::kReleased:
        this->receivedReleased(*agent, message.released());
        this->proposeReleased(now);
        break;
    case wire::AgentMessage::kCrash: {
        wire::Command command;
        *command.mutable_report_crash() = message.crash();
        this->propose(std::move(command), {});
        break;
    }
    case wire::AgentMessage::kClaimCall:
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
        this->unsettledAgents.insert(upstream.agent());
        this->servicePlans[upstream.service()].dirty = true;
    }
    if (applied.update.has_table()) {
        for (const auto &[service, map] : this->state.services()) {
            // Operators expect their changes to take effect at once; only restarts justify a delay.
            this->servicePlans[service].dirty = true;
            this->servicePlans[service].rebalanceAtOnce = true;
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
    if (!ended.agent.empty()) {
        this->unsettledAgents.insert(ended.agent);
    }
    if (!ended.splitService.empty()) {
        this->servicePlans[ended.splitService].splitInFlight = false;
        this->servicePlans[ended.splitService].dirty = true;
    }
    for (const SliceName &slice : ended.slices) {
        this->endMove(slice, outcome);
    }
}

void Coordinator::endMove(const SliceName &slice, ProposalOutcome outcome)
{
    Move &move = this->moveTracker.moves.at(slice);
    if (outcome != ProposalOutcome::Applied) {
        // The lease of an agent that loses the slice stays withheld, because the change is proposed again.
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
    const Round round = std::exchange(this->currentRound, {});
    if (!leads) {
        // Agents send heartbeats again anyway; tick() begins the next round.
        this->nextRound.opened.insert(this->nextRound.opened.end(), round.opened.begin(), round.opened.end());
        return;
    }
    this->sendFullState(round.opened);
    this->repeatAcceptances(now);
    for (const auto &[session, heartbeat] : round.heartbeats) {
        if (AgentRecord *const agent = this->agentRegistry.findBySession(session);
            agent != nullptr && agent->hasFullState) {
            this->renew(*agent, heartbeat, now);
        }
    }
    if (!this->nextRound.opened.empty()) {
        this->startRound();
    }
}

void Coordinator::setControls(std::vector<std::string> addresses)
{
    if (addresses == this->controls) {
        return;
    }
    this->controls = std::move(addresses);
    this->fullState.reset();
    // Agents get the new addresses at once, so that they don't search for the next leader among removed replicas. With
    // the addresses of the session's start alone they would use the first three replicas forever, of which two may be
    // down for long. The message carries the version of the state, so the batched updates are sent first.
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
    this->lastTickAt = now;
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
    this->checkAgents(now);
    if (now - this->workSummarizedAt >= WorkSummaryInterval) {
        this->summarizeWork(now);
    }
    this->forceMovesOfLost(now);
    this->planServices(now);
    this->proposeReleased(now);
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

std::uint64_t Coordinator::fullStateBuilds() const
{
    return this->fullStatesBuilt;
}

std::uint64_t Coordinator::agentChecks() const
{
    return this->agentChecksTotal;
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
    // A mark that changes nothing is committed but not sent, so agents never reach its version and needn't.
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
    *message.mutable_update() = take(this->batch, this->lastTickAt);
    const auto shared = std::make_shared<const wire::ControlMessage>(std::move(message));
    for (const auto &[name, agent] : this->agentRegistry.agents) {
        if (agent.hasFullState) {
            this->actions.emplace_back(SendAction{agent.session, shared});
        }
    }
}

void Coordinator::send(SessionId session, wire::ControlMessage message)
{
    // No message may overtake the update of a moved slice. An agent whose lease is renewed, or which is asked to
    // release, before it receives the update would go on serving a slice that has another owner.
    if (movesSlices(this->batch)) {
        this->sendBatch();
    }
    this->actions.emplace_back(SendAction{session, std::make_shared<const wire::ControlMessage>(std::move(message))});
}

std::uint64_t Coordinator::propose(wire::Command command, Proposal proposal)
{
    const std::uint64_t proposalId = ++this->lastProposal;
    if (!proposal.previousAgent.empty()) {
        ++this->agentRegistry.getOrCreate(proposal.previousAgent).forcedMovesInFlight;
    }
    if (!proposal.upstream.second.empty()) {
        this->upstreamsInFlight.insert(proposal.upstream);
    }
    this->proposals.emplace(proposalId, std::move(proposal));
    this->actions.emplace_back(ProposeAction{proposalId, std::move(command)});
    return proposalId;
}

void Coordinator::startRound()
{
    if (!this->leading || this->roundInFlight || this->nextRound.empty()) {
        return;
    }
    this->currentRound.heartbeats = std::exchange(this->nextRound.heartbeats, {});
    const std::size_t count = std::min(this->nextRound.opened.size(), MaxFullStatesPerRound);
    const auto end = this->nextRound.opened.begin() + static_cast<std::ptrdiff_t>(count);
    this->currentRound.opened.assign(this->nextRound.opened.begin(), end);
    this->nextRound.opened.erase(this->nextRound.opened.begin(), end);
    this->roundInFlight = true;
    this->actions.emplace_back(ConfirmAction{});
}

void Coordinator::repeatAcceptances(BootTime now)
{
    if (now - this->acceptancesRepeatedAt < AcceptanceInterval) {
        return;
    }
    this->acceptancesRepeatedAt = now;
    const std::shared_ptr<const wire::ControlMessage> acceptance = makeAcceptance();
    for (const auto &[name, agent] : this->agentRegistry.agents) {
        if (agent.session != 0 && !agent.hasFullState) {
            this->actions.emplace_back(SendAction{agent.session, acceptance});
        }
    }
}

/** @return the full state, built anew only after the state has changed: all agents connect after a change of leader */
const std::shared_ptr<const wire::ControlMessage> &Coordinator::currentFullState()
{
    const wire::Version &version = this->state.version();
    const bool isCurrent = this->fullState != nullptr && !isBefore(this->fullStateVersion, version);
    if (!isCurrent) {
        wire::ControlMessage message;
        *message.mutable_update() = this->state.fullUpdate();
        message.mutable_update()->mutable_controls()->Assign(this->controls.begin(), this->controls.end());
        this->fullState = std::make_shared<const wire::ControlMessage>(std::move(message));
        this->fullStateVersion = version;
        ++this->fullStatesBuilt;
    }
    return this->fullState;
}

void Coordinator::sendFullState(const std::vector<SessionId> &sessions)
{
    // The full state already contains the batched updates. Sending them later changes nothing, because a batch ends
    // with the newest value of each item that it names.
    for (const SessionId session : sessions) {
        AgentRecord *const agent = this->agentRegistry.findBySession(session);
        if (agent == nullptr) {
            continue;
        }
        this->actions.emplace_back(SendAction{session, this->currentFullState()});
        agent->hasFullState = true;
        this->resendRevokes(*agent);
    }
}

} // namespace bergamotweir::control
