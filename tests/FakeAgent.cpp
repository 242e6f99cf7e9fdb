#include "FakeAgent.h"

namespace bergamotweir::test {

void FakeAgent::setUp(std::size_t number, bool checksGrants)
{
    this->name = "a" + std::to_string(number);
    this->clockRate = 0.98 + 0.01 * static_cast<double>(number % 5);
    this->upstream.set_service(Service);
    this->upstream.set_name("u" + std::to_string(number));
    this->upstream.set_agent(this->name);
    this->upstream.set_checks_grants(checksGrants);
}

void FakeAgent::start(BootTime now)
{
    ++this->starts;
    this->running = true;
    this->startedAt = now;
    this->lease = {};
    this->map = {};
    this->ownership = {};
    this->session = 0;
    this->nextConnect = now;
    this->upstream.set_serving(true);
    this->upstream.set_incarnation(this->name + "-" + std::to_string(this->starts));
}

wire::AgentMessage FakeAgent::connect(std::uint64_t newSession, std::size_t newLeader, BootTime now)
{
    this->session = newSession;
    this->leader = newLeader;
    this->opened = false;
    this->lastHeard = now;
    const auto uptime = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->startedAt);
    wire::AgentMessage message;
    wire::Hello &hello = *message.mutable_hello();
    hello.set_agent(this->name);
    hello.set_incarnation(this->name + "/" + std::to_string(this->starts));
    hello.set_uptime_ms(static_cast<std::uint64_t>(uptime.count()));
    *hello.mutable_seen() = this->map.version;
    return message;
}

void FakeAgent::disconnect()
{
    agent::endSession(this->lease);
    this->session = 0;
}

wire::AgentMessage FakeAgent::announcement() const
{
    wire::AgentMessage message;
    *message.mutable_upstream() = this->upstream;
    message.mutable_upstream()->set_serving(this->upstreamUp && !this->draining);
    return message;
}

std::vector<wire::AgentMessage> FakeAgent::receive(const wire::ControlMessage &message, BootTime now)
{
    std::vector<wire::AgentMessage> answers;
    this->lastHeard = now;
    if (!this->opened) {
        this->opened = true;
        agent::beginSession(this->lease, this->session);
        answers.push_back(this->announcement());
    }
    if (message.has_update()) {
        this->apply(message.update(), answers);
    } else if (message.has_renewed()) {
        agent::confirmRenewal(this->lease, this->session, message.renewed());
    } else if (message.has_revoke()) {
        agent::revoke(this->ownership, message.revoke());
    }
    return answers;
}

void FakeAgent::apply(const wire::StateUpdate &update, std::vector<wire::AgentMessage> &answers)
{
    if (agent::apply(this->map, update) == agent::UpdateOutcome::Older) {
        return;
    }
    this->ownership.ownUpstreams.clear();
    for (const auto &[id, known] : this->map.upstreams) {
        if (known.agent() == this->name) {
            this->ownership.ownUpstreams.insert(id);
        }
    }
    agent::forgetOldEpochs(this->ownership, this->map);
    if (update.full()) {
        wire::AgentMessage released;
        *released.mutable_released() = agent::resumeReleased(this->ownership, this->map);
        answers.push_back(std::move(released));
        agent::recordFullState(this->lease, this->session);
    }
}

std::vector<wire::AgentMessage> FakeAgent::step(BootTime now)
{
    std::vector<wire::AgentMessage> messages;
    if (this->lease.session != 0 && now >= this->nextRenewalAt) {
        this->nextRenewalAt = now + RenewInterval;
        wire::AgentMessage renew;
        renew.mutable_renew()->set_sequence(agent::recordRenewal(this->lease, this->clock(now)));
        *renew.mutable_renew()->mutable_in_force() = this->map.version;
        messages.push_back(std::move(renew));
    }
    wire::AgentMessage released;
    *released.mutable_released() = agent::takeReleased(this->ownership, this->map);
    if (released.released().slices_size() > 0) {
        messages.push_back(std::move(released));
    }
    return messages;
}

bool FakeAgent::owns(std::uint64_t hash, BootTime now) const
{
    return this->running
           && agent::ownsLocally(this->ownership, this->map, this->lease, Service, hash, this->clock(now));
}

bool FakeAgent::isFrozen(BootTime now) const
{
    return now < this->frozenUntil;
}

BootTime FakeAgent::clock(BootTime now) const
{
    return BootTime(std::chrono::duration_cast<BootClock::duration>(now.time_since_epoch() * this->clockRate));
}

} // namespace bergamotweir::test
