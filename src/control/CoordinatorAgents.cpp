#include "control/Coordinator.h"
#include "control/State.h"

#include <algorithm>
#include <cassert>

namespace bergamotweir::control {

namespace {

/** Interval at which all agents are checked, in addition to those with an event. */
constexpr std::chrono::seconds AllAgentsCheckInterval{1};

} // namespace

bool Coordinator::replacesUpstream(const wire::UpstreamInfo &candidate, const wire::UpstreamInfo &upstream)
{
    return !upstream.address().empty() && candidate.address() == upstream.address()
           && candidate.started_unix_ms() > upstream.started_unix_ms();
}

void Coordinator::renew(AgentRecord &agent, const Heartbeat &heartbeat, BootTime now)
{
    // The full state was sent earlier, in this round at the latest. An agent must not serve from older state.
    assert(agent.hasFullState);
    wire::ControlMessage message;
    message.mutable_renewed()->set_sequence(heartbeat.sequence);
    if (this->canRenew(agent, now)) {
        message.mutable_renewed()->set_lease_ms(static_cast<std::uint32_t>(this->settings.lease.count()));
        const BootTime end = heartbeat.arrivedAt + this->settings.lease + this->settings.drift;
        if (!mayHoldLease(agent, now)) {
            // Its upstreams count as members again.
            for (const auto &[upstream, info] : agent.announced) {
                this->servicePlans[info.service()].dirty = true;
            }
        }
        agent.leaseUntil = std::max(agent.leaseUntil, end);
    }
    // Only registered agents get shares, because a later leader must know which agents may use some.
    if (!this->state.upstreams().ofAgent(agent.name).empty()) {
        grantShares(this->limitAllocator,
                    incarnationIdOf(agent),
                    this->state.tables().table().routes(),
                    heartbeat.arrivedAt,
                    now,
                    *message.mutable_renewed());
    }
    if (agent.workSentAt < this->workSummarizedAt) {
        agent.workSentAt = this->workSummarizedAt;
        message.mutable_renewed()->mutable_work()->Assign(this->serviceWork.begin(), this->serviceWork.end());
    }
    this->send(agent.session, std::move(message));
}

bool Coordinator::allLimitsReported() const
{
    const auto &upstreams = this->state.upstreams().all();
    return std::all_of(upstreams.begin(), upstreams.end(), [&](const auto &entry) {
        const AgentRecord *const agent = this->agentRegistry.find(entry.second.agent());
        return agent != nullptr && !agent->hasUnknownPredecessor
               && isKnown(this->limitAllocator, incarnationIdOf(*agent));
    });
}

bool Coordinator::canRenew(const AgentRecord &agent, BootTime now) const
{
    // Slices are being taken from the agent; with a lease it would serve them until it receives the commit.
    if (agent.forcedMovesInFlight > 0 || now < agent.leaseBlockedUntil) {
        return false;
    }
    // The log must record which process serves under this name before that process gets a lease, because a later
    // leader withholds the lease from any other process.
    const std::set<std::uint32_t> &own = this->state.upstreams().ofAgent(agent.name);
    return std::all_of(own.begin(), own.end(), [&](std::uint32_t id) {
        const wire::UpstreamInfo &upstream = *this->state.upstreams().find(id);
        return upstream.agent_incarnation() == agent.incarnation || !this->mustPrecedeLease(upstream);
    });
}

/** @return false for an upstream that has stopped and owns no slices, so that no lease covers it */
bool Coordinator::mustPrecedeLease(const wire::UpstreamInfo &upstream) const
{
    if (upstream.serving()) {
        return true;
    }
    const auto service = this->state.services().find(upstream.service());
    return service != this->state.services().end()
           && std::any_of(service->second.slices().begin(), service->second.slices().end(), [&](const auto &slice) {
                  return slice.second.owner == upstream.id();
              });
}

void Coordinator::receivedUpstream(AgentRecord &agent, const wire::UpstreamInfo &announced)
{
    wire::UpstreamInfo upstream = announced;
    upstream.clear_id();
    upstream.set_agent(agent.name);
    upstream.set_failure_domain(agent.failureDomain);
    upstream.set_agent_incarnation(agent.incarnation);
    const wire::UpstreamInfo *const registered = this->state.upstreams().find(upstream.service(), upstream.name());
    const bool isKnown = registered != nullptr && registered->incarnation() == upstream.incarnation();
    // An agent that has restarted doesn't know what the upstream stated before.
    if (isKnown && registered->leaving()) {
        upstream.set_leaving(true);
        upstream.set_serving(false);
    }
    if (upstream.rate_limit() < 0) {
        upstream.set_rate_limit(isKnown ? registered->rate_limit() : 0);
    }
    agent.announced[{upstream.service(), upstream.name()}] = std::move(upstream);
    this->unsettledAgents.insert(agent.name);
}

bool Coordinator::canMoveToAgent(const wire::UpstreamInfo &registered, const AgentRecord &agent, BootTime now) const
{
    if (registered.agent() == agent.name) {
        // The log names the predecessor under this name until that process can hold no lease.
        return registered.agent_incarnation() == agent.incarnation || now >= agent.leaseBlockedUntil;
    }
    // An upstream that is taken over from another agent keeps all its slices.
    const AgentRecord *const other = this->agentRegistry.find(registered.agent());
    return other == nullptr || (isLost(*other, now) && now >= other->leaseUntil + this->maxWorkTime(registered));
}

void Coordinator::checkAgents(BootTime now)
{
    if (now >= this->allAgentsCheckAt) {
        this->allAgentsCheckAt = now + AllAgentsCheckInterval;
        for (const auto &[name, agent] : this->agentRegistry.agents) {
            this->unsettledAgents.insert(name);
        }
    }
    std::erase_if(this->unsettledAgents, [&](const std::string &name) {
        AgentRecord *const agent = this->agentRegistry.find(name);
        if (agent == nullptr || agent->session == 0 || isLost(*agent, now)) {
            return true;
        }
        ++this->agentChecksTotal;
        const bool isRegistered = this->reconcile(*agent, now);
        return this->retireUnannounced(*agent, now) && isRegistered;
    });
}

bool Coordinator::reconcile(AgentRecord &agent, BootTime now)
{
    bool isRegistered = true;
    for (const auto &[name, announced] : agent.announced) {
        const wire::UpstreamInfo *const registered = this->state.upstreams().find(name.first, name.second);
        if (registered != nullptr && sameAnnouncement(*registered, announced)) {
            continue;
        }
        isRegistered = false;
        if (this->upstreamsInFlight.contains(name)
            || (registered != nullptr && !this->canMoveToAgent(*registered, agent, now))) {
            continue;
        }
        const bool takenOver = registered != nullptr && registered->agent() != agent.name;
        this->proposeUpstream(announced, takenOver ? registered->agent() : std::string());
    }
    return isRegistered;
}

void Coordinator::proposeUpstream(const wire::UpstreamInfo &upstream, const std::string &previousAgent)
{
    wire::Command command;
    *command.mutable_put_upstream()->mutable_upstream() = upstream;
    Proposal proposal;
    proposal.upstream = {upstream.service(), upstream.name()};
    proposal.agent = upstream.agent();
    proposal.previousAgent = previousAgent;
    this->propose(std::move(command), std::move(proposal));
}

/**
 * Retires upstreams of an agent that it hasn't announced by its announceDeadline. An upstream is retired at once when
 * another process listens at its address, which proves that it has exited. Without this, its keys would be refused for
 * 3.5 s after a loss of power, once the leader and all agents are running again.
 * @return whether none is left to retire
 */
bool Coordinator::retireUnannounced(AgentRecord &agent, BootTime now)
{
    bool isDone = true;
    for (const std::uint32_t id : this->state.upstreams().ofAgent(agent.name)) {
        const wire::UpstreamInfo &registered = *this->state.upstreams().find(id);
        const std::pair name(registered.service(), registered.name());
        const bool alreadyRetired = !registered.serving() && registered.agent_incarnation() == agent.incarnation;
        if (alreadyRetired || agent.announced.contains(name)) {
            continue;
        }
        isDone = false;
        if (now < agent.leaseBlockedUntil || this->upstreamsInFlight.contains(name)) {
            continue;
        }
        wire::UpstreamInfo upstream = registered;
        const bool isReplaced = std::any_of(agent.announced.begin(), agent.announced.end(), [&](const auto &entry) {
            return replacesUpstream(entry.second, upstream);
        });
        if (now < agent.announceDeadline && !isReplaced) {
            continue;
        }
        upstream.set_serving(false);
        upstream.set_agent_incarnation(agent.incarnation);
        this->proposeUpstream(upstream, {});
    }
    return isDone;
}

void Coordinator::retireLost(BootTime now)
{
    for (const auto &[agentName, agent] : this->agentRegistry.agents) {
        if (!isLost(agent, now)) {
            continue;
        }
        for (const std::uint32_t id : this->state.upstreams().ofAgent(agentName)) {
            wire::UpstreamInfo upstream = *this->state.upstreams().find(id);
            if (!upstream.serving() || this->upstreamsInFlight.contains({upstream.service(), upstream.name()})) {
                continue;
            }
            this->servicePlans[upstream.service()].dirty = true;
            upstream.set_serving(false);
            this->proposeUpstream(upstream, {});
        }
    }
}

std::chrono::nanoseconds Coordinator::maxWorkTime(const wire::UpstreamInfo &upstream) const
{
    // An upstream that checks grants refuses requests after the grant has ended. Any other may still run a request that
    // its agent dispatched just before the lease ended.
    if (upstream.checks_grants()) {
        return std::chrono::nanoseconds(0);
    }
    return this->state.tables().table().service(upstream.service()).timeout;
}

} // namespace bergamotweir::control
