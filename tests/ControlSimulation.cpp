#include "ControlSimulation.h"

#include <algorithm>

namespace bergamotweir::test {

namespace {

constexpr std::size_t SampledKeys = 16;

wire::Command mark(const std::string &name, bool inService, std::uint64_t id)
{
    wire::Command command;
    command.mutable_mark()->set_change_id("mark" + std::to_string(id));
    command.mutable_mark()->set_kind(wire::MARK_KIND_UPSTREAM);
    command.mutable_mark()->set_name(name);
    command.mutable_mark()->set_in_service(inService);
    return command;
}

} // namespace

ControlSimulation::ControlSimulation(std::uint64_t seed, std::size_t agentCount, std::optional<bool> checksGrants)
    : agents(agentCount)
    , random(seed)
{
    this->leaders.push_back(std::make_unique<Leader>(1));
    wire::Command table;
    table.mutable_put_table()->set_change_id("first");
    table.mutable_put_table()->set_csv("service,keyed,timeout_ms\ncatalogue,yes," + std::to_string(Timeout.count())
                                       + "\n");
    this->commit(0, 0, table);
    this->leaders[0]->coordinator.lead(this->now);
    for (std::size_t number = 0; number < SampledKeys; ++number) {
        this->hashes.push_back((std::uint64_t{this->random()} << 32) + this->random());
    }
    this->lastServedAt.assign(SampledKeys, this->now);
    for (std::size_t number = 0; number < agentCount; ++number) {
        FakeAgent &agent = this->agents[number];
        agent.setUp(number, checksGrants.value_or(number % 2 == 0));
        agent.start(this->now);
    }
}

void ControlSimulation::run(std::chrono::milliseconds time, Fault fault, std::uint64_t atEvent)
{
    this->plannedFault = fault;
    this->plannedEvent = this->events + atEvent;
    for (const BootTime end = this->now + time; this->now < end && this->violation.empty(); this->now += Step) {
        this->deliver();
        this->endPending();
        for (std::size_t leader = this->leaders.size() > 1 ? this->leaders.size() - 2 : 0;
             leader < this->leaders.size();
             ++leader) {
            this->leaders[leader]->coordinator.tick(this->now);
            this->takeActions(leader);
        }
        for (std::size_t number = 0; number < this->agents.size(); ++number) {
            this->stepAgent(number);
        }
        this->check();
    }
}

void ControlSimulation::recordEvent()
{
    if (this->events++ == this->plannedEvent && this->plannedFault != Fault::None) {
        this->inject(std::exchange(this->plannedFault, Fault::None));
    }
}

void ControlSimulation::inject(Fault fault, std::optional<std::size_t> chosen)
{
    FakeAgent &agent = this->agents[chosen.value_or(this->random(static_cast<std::uint32_t>(this->agents.size())))];
    switch (fault) {
    case Fault::None:
        break;
    case Fault::KillAgent:
        agent.running = false;
        break;
    case Fault::RestartAgent:
        agent.start(this->now);
        break;
    case Fault::FreezeAgent:
        agent.frozenUntil = this->now + std::chrono::milliseconds(100 + this->random(1200));
        break;
    case Fault::PartitionAgent:
        agent.reachable = false;
        break;
    case Fault::CrashUpstream:
        std::erase_if(this->workInProgress, [&](const FakeWork &work) {
            return &this->agents[work.agent] == &agent;
        });
        agent.ownership.work.clear();
        agent.upstreamUp = false;
        this->announce(agent);
        break;
    case Fault::DrainUpstream:
        agent.draining = true;
        this->announce(agent);
        break;
    case Fault::MarkOut:
    case Fault::MarkIn:
        this->propose(mark(agent.upstream.name(), fault == Fault::MarkIn, ++this->lastChange));
        break;
    case Fault::ChangeLeader:
        this->changeLeader();
        break;
    case Fault::DelayNetwork:
        this->extraDelay = std::chrono::milliseconds(250);
        break;
    }
}

void ControlSimulation::heal()
{
    this->extraDelay = {};
    for (FakeAgent &agent : this->agents) {
        agent.reachable = true;
        agent.frozenUntil = this->now;
        if (!agent.running) {
            agent.start(this->now);
        }
        agent.upstreamUp = true;
        agent.draining = false;
        this->announce(agent);
        this->propose(mark(agent.upstream.name(), true, ++this->lastChange));
    }
}

void ControlSimulation::announce(FakeAgent &agent)
{
    this->sendToLeader(agent, agent.announcement());
}

void ControlSimulation::propose(const wire::Command &command)
{
    const BootTime dueAt = this->now + this->delay();
    this->pending.push_back({dueAt, dueAt, this->leaders.size() - 1, 0, command});
}

void ControlSimulation::changeLeader()
{
    // Proposals of the old leader may or may not have reached the quorum that elects the next one.
    for (const Pending &item : std::exchange(this->pending, {})) {
        if (item.command && this->random(2) == 0) {
            this->commit(item.leader, 0, *item.command);
        } else if (!item.command) {
            this->pending.push_back(item);
        }
    }
    auto next = std::make_unique<Leader>(this->leaders.back()->term + 1);
    for (const auto &[version, command] : this->log) {
        next->state.apply(version, command);
    }
    this->leaders.back()->deposedAt = this->now;
    next->coordinator.lead(this->now);
    this->leaders.push_back(std::move(next));
}

void ControlSimulation::commit(std::size_t leader, std::uint64_t proposal, const wire::Command &command)
{
    wire::Version version;
    version.set_term(this->leaders[leader]->term);
    version.set_index(this->log.size() + 1);
    this->log.emplace_back(version, command);
    Leader &own = *this->leaders[leader];
    own.coordinator.applied(own.state.apply(version, command));
    if (proposal != 0) {
        own.coordinator.proposed(proposal, control::ProposalOutcome::Applied);
    }
    this->takeActions(leader);
    this->recordEvent();
}

void ControlSimulation::endPending()
{
    // A round or a proposal succeeds if the leader was still leading when its quorum acknowledged.
    for (std::size_t number = 0; number < this->pending.size();) {
        const Pending item = this->pending[number];
        if (item.dueAt > this->now) {
            ++number;
            continue;
        }
        this->pending.erase(this->pending.begin() + static_cast<std::ptrdiff_t>(number));
        if (item.command) {
            this->commit(item.leader, item.proposal, *item.command);
        } else {
            Leader &leader = *this->leaders[item.leader];
            leader.coordinator.confirmed(!leader.deposedAt || item.acknowledgedAt < *leader.deposedAt, this->now);
            this->takeActions(item.leader);
            this->recordEvent();
        }
    }
}

void ControlSimulation::takeActions(std::size_t leader)
{
    const bool leads = leader + 1 == this->leaders.size();
    for (control::Action &action : this->leaders[leader]->coordinator.takeActions()) {
        if (auto *const proposal = std::get_if<control::ProposeAction>(&action)) {
            if (leads) {
                const BootTime dueAt = this->now + this->delay();
                this->pending.push_back({dueAt, dueAt, leader, proposal->proposal, std::move(proposal->command)});
            }
        } else if (std::holds_alternative<control::ConfirmAction>(action)) {
            const BootTime acknowledgedAt = this->now + this->delay();
            this->pending.push_back({acknowledgedAt + this->delay(), acknowledgedAt, leader, 0, {}});
        } else if (auto *const send = std::get_if<control::SendAction>(&action)) {
            this->post({{}, leader, send->session, 0, {}, send->message, false});
        } else {
            this->post({{}, leader, std::get<control::CloseAction>(action).session, 0, {}, nullptr, true});
        }
    }
}

std::chrono::milliseconds ControlSimulation::delay()
{
    return std::chrono::milliseconds(1 + this->random(this->random(20) == 0 ? 120 : 12));
}

void ControlSimulation::post(Message message)
{
    // A session is a stream: messages arrive in the order in which they were sent.
    BootTime &last = this->lastDueAt[{message.session, message.toLeader.has_value()}];
    last = std::max(last, this->now + this->delay() + this->extraDelay);
    message.dueAt = last;
    this->network.push_back(std::move(message));
}

void ControlSimulation::deliver()
{
    std::deque<Message> waiting = std::exchange(this->network, {});
    for (Message &message : waiting) {
        if (message.dueAt > this->now) {
            this->network.push_back(std::move(message));
        } else if (message.toLeader) {
            this->deliverToLeader(message);
        } else {
            this->deliverToAgent(message);
        }
    }
}

void ControlSimulation::deliverToLeader(const Message &message)
{
    if (!this->agents[message.agent].reachable) {
        this->network.push_back(message);
        return;
    }
    control::Coordinator &coordinator = this->leaders[message.leader]->coordinator;
    if (message.toLeader->has_hello()) {
        coordinator.opened(message.session, message.toLeader->hello(), this->now);
    } else {
        coordinator.received(message.session, *message.toLeader, this->now);
    }
    this->takeActions(message.leader);
    this->recordEvent();
}

void ControlSimulation::deliverToAgent(const Message &message)
{
    const auto found = std::find_if(this->agents.begin(), this->agents.end(), [&](const FakeAgent &agent) {
        return agent.session == message.session;
    });
    if (found == this->agents.end() || !found->running) {
        return;
    }
    FakeAgent &agent = *found;
    // A stream loses no messages while it is open.
    if (agent.isFrozen(this->now) || !agent.reachable) {
        this->network.push_back(message);
        return;
    }
    if (message.closes) {
        agent.disconnect();
        return;
    }
    for (wire::AgentMessage &answer : agent.receive(*message.toAgent, this->now)) {
        this->sendToLeader(agent, std::move(answer));
    }
    this->recordEvent();
}

void ControlSimulation::sendToLeader(FakeAgent &agent, wire::AgentMessage message)
{
    if (agent.session != 0 && agent.running) {
        const auto number = static_cast<std::size_t>(&agent - this->agents.data());
        this->post({{}, agent.leader, agent.session, number, std::move(message), nullptr, false});
    }
}

void ControlSimulation::stepAgent(std::size_t number)
{
    FakeAgent &agent = this->agents[number];
    if (!agent.running || agent.isFrozen(this->now)) {
        return;
    }
    if (agent.session != 0 && this->now > agent.lastHeard + FakeAgent::Silence) {
        this->leaders[agent.leader]->coordinator.closed(agent.session);
        agent.disconnect();
        agent.nextConnect = this->now + this->delay();
    }
    if (agent.session == 0 && this->now >= agent.nextConnect) {
        // Sometimes the agent reaches a deposed leader that doesn't know of its successor yet.
        const bool stale = this->leaders.size() > 1 && this->random(4) == 0;
        wire::AgentMessage hello =
            agent.connect(++this->lastSession, this->leaders.size() - (stale ? 2 : 1), this->now);
        this->sendToLeader(agent, std::move(hello));
    }
    this->work(number);
    for (wire::AgentMessage &message : agent.step(this->now)) {
        this->sendToLeader(agent, std::move(message));
    }
}

void ControlSimulation::work(std::size_t number)
{
    FakeAgent &agent = this->agents[number];
    std::erase_if(this->workInProgress, [&](const FakeWork &work) {
        const bool ended = work.agent == number && work.endsAt <= this->now;
        if (ended && work.agentStart == agent.starts && agent.upstreamUp) {
            agent::endWork(agent.ownership, FakeAgent::Service, work.hash);
        }
        return ended;
    });
    const std::uint64_t hash = this->hashes[this->random(SampledKeys)];
    if (!agent.upstreamUp || !agent.owns(hash, this->now)) {
        return;
    }
    for (const FakeWork &other : this->workInProgress) {
        const FakeAgent &owner = this->agents[other.agent];
        if (other.agent != number && other.hash == hash && other.endsAt > this->now
            && !owner.upstream.checks_grants()) {
            this->violation = owner.name + " still runs work on a key that " + agent.name + " begins to serve";
        }
    }
    agent::beginWork(agent.ownership, FakeAgent::Service, hash);
    const auto time = std::chrono::milliseconds(5 + this->random(this->random(10) == 0 ? 290 : 20));
    this->workInProgress.push_back({number, agent.starts, hash, this->now + time});
}

bool ControlSimulation::allServed() const
{
    // A key on a planned move waits for the work in progress on it.
    return std::all_of(this->lastServedAt.begin(), this->lastServedAt.end(), [this](BootTime served) {
        return served + Timeout + std::chrono::milliseconds(500) > this->now;
    });
}

std::size_t ControlSimulation::served(std::size_t number) const
{
    const FakeAgent &agent = this->agents[number];
    return static_cast<std::size_t>(std::count_if(this->hashes.begin(), this->hashes.end(), [&](std::uint64_t hash) {
        return agent.upstreamUp && agent.owns(hash, this->now);
    }));
}

std::size_t ControlSimulation::slices(std::size_t number) const
{
    const wire::UpstreamInfo &own = this->agents[number].upstream;
    const wire::UpstreamInfo *const upstream = this->state().upstreams().find(own.service(), own.name());
    const auto &all = this->state().services().at(own.service()).slices();
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const auto &slice) {
        return upstream != nullptr && slice.second.owner == upstream->id();
    }));
}

void ControlSimulation::check()
{
    for (std::size_t key = 0; key < SampledKeys; ++key) {
        const FakeAgent *owner = nullptr;
        for (const FakeAgent &agent : this->agents) {
            if (!agent.running || !agent.owns(this->hashes[key], this->now)) {
                continue;
            }
            if (owner != nullptr) {
                this->violation = owner->name + " and " + agent.name + " both own key " + std::to_string(key);
            }
            owner = &agent;
        }
        if (owner != nullptr && owner->upstreamUp && !owner->isFrozen(this->now)) {
            this->lastServedAt[key] = this->now;
        }
        this->maxServiceGap =
            std::max<std::chrono::nanoseconds>(this->maxServiceGap, this->now - this->lastServedAt[key]);
    }
}

} // namespace bergamotweir::test
