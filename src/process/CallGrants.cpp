#include "process/CallGrants.h"

#include "base/KeyHash.h"
#include "loop/Log.h"
#include "loop/LogEvent.h"
#include "process/AgentProtocol.h"
#include "process/AgentState.h"

#include <algorithm>

namespace bergamotweir::process {

namespace {

constexpr loop::Log Log("grants");

const char *toText(agent::OrderOutcome outcome)
{
    switch (outcome) {
    case agent::OrderOutcome::Done:
        return "done";
    case agent::OrderOutcome::Outdated:
        return "outdated";
    case agent::OrderOutcome::NotReceived:
        return "not-taken";
    case agent::OrderOutcome::Unknown:
        break;
    }
    return "unknown";
}

/** Appends keys; merges adjacent ranges of the same epoch without handovers into one order. */
void addWanted(std::vector<agent::WantedKeys> &wanted, agent::WantedKeys keys)
{
    if (!wanted.empty()) {
        agent::WantedKeys &before = wanted.back();
        const bool plain = before.handover.empty() && keys.handover.empty() && before.range.epoch == keys.range.epoch;
        if (plain && before.range.last + 1 == keys.range.first) {
            before.range.last = keys.range.last;
            return;
        }
    }
    wanted.push_back(std::move(keys));
}

} // namespace

CallGrants::CallGrants(loop::EventLoop &loop, AgentState &state, net::HttpClient &client, CallGrantsEvents events)
    : loop(loop)
    , state(state)
    , client(client)
    , events(std::move(events))
    , alive(std::make_shared<bool>(true))
{
}

CallGrants::~CallGrants()
{
    *this->alive = false;
    this->loop.cancel(this->timer);
}

void CallGrants::update(const Announcement &upstream, std::uint32_t id, bool serving)
{
    this->upstream = upstream;
    this->id = id;
    this->serving = serving;
    this->sendDueOrders();
}

void CallGrants::sendDueOrders()
{
    const BootTime now = BootClock::now();
    const std::vector<agent::GrantOrder> due =
        agent::takeDueOrders(this->orders, this->wanted(), this->unwanted(), this->state.lease.validUntil, now);
    const bool changed = this->publish();
    for (const agent::GrantOrder &order : due) {
        this->send(order);
    }
    this->loop.cancel(this->timer);
    this->timer = 0;
    if (const BootTime next = agent::nextCheckAt(this->orders, now); next != BootTime::max()) {
        this->timer = this->loop.after(next - now, [this] {
            this->timer = 0;
            this->sendDueOrders();
        });
    }
    if (changed) {
        this->events.changed();
    }
}

/** Publishes the keys that the upstream holds or may hold. @return whether they differ from those published before */
bool CallGrants::publish()
{
    std::vector<agent::HeldRange> held = agent::currentlyHeld(this->orders, BootClock::now());
    std::vector<agent::HeldRange> &known = this->state.ownership.held[this->upstream.service];
    if (held == known) {
        return false;
    }
    known = std::move(held);
    return true;
}

void CallGrants::send(const agent::GrantOrder &order)
{
    net::HttpCall call = this->state.protocol->orderCall(this->upstream, order);
    const agent::GrantTimes &times = this->orders.times;
    call.timeout = order.kind == agent::OrderKind::Grant ? times.grantTimeout : times.releaseTimeout;
    call.connectTimeout = times.grantTimeout;
    this->client.send(std::move(call), [this, order, alive = this->alive](const net::CallResult &result) {
        if (*alive) {
            this->handleOrderAnswer(order, this->state.protocol->readOrderAnswer(result));
        }
    });
}

void CallGrants::handleOrderAnswer(const agent::GrantOrder &order, const OrderAnswer &answer)
{
    const BootTime now = BootClock::now();
    agent::recordOrderOutcome(this->orders, order.id, answer.outcome, now);
    const bool isGrant = order.kind == agent::OrderKind::Grant;
    if (!isGrant || answer.outcome != agent::OrderOutcome::Done) {
        Log.event(answer.outcome == agent::OrderOutcome::Done ? loop::LogLevel::Info : loop::LogLevel::Warn,
                  isGrant ? "grant failed" : "release ended",
                  loop::RoutineBound)
            .with("upstream", this->upstream.name)
            .with("first_key", order.range.first / NumberedKeyWidth)
            .with("last_key", order.range.last / NumberedKeyWidth)
            .with("epoch", order.range.epoch)
            .with("end", toText(answer.outcome))
            .with("took_ms", now - order.sentAt);
    }
    if (!isGrant && answer.outcome == agent::OrderOutcome::Done) {
        this->recordHandover(order, answer.handover);
    }
    this->sendDueOrders();
}

void CallGrants::recordHandover(const agent::GrantOrder &order, const std::string &handover)
{
    agent::Ownership &ownership = this->state.ownership;
    for (const agent::SliceKey &key : ownership.revoked) {
        const bool inRange = order.range.first <= key.begin && key.begin <= order.range.last;
        if (key.service == this->upstream.service && inRange && !handover.empty()) {
            ownership.handovers[key] = handover;
        }
    }
}

std::vector<agent::WantedKeys> CallGrants::wanted() const
{
    std::vector<agent::WantedKeys> wanted;
    const auto slices = this->state.map.slices.find(this->upstream.service);
    if (this->id == 0 || !this->serving || slices == this->state.map.slices.end()) {
        return wanted;
    }
    const agent::Ownership &ownership = this->state.ownership;
    for (const agent::Slice &slice : slices->second) {
        if (slice.owner != this->id) {
            continue;
        }
        const agent::SliceKey key{this->upstream.service, slice.begin, slice.epoch};
        if (ownership.released.contains(key) || ownership.revoked.contains(key)) {
            continue;
        }
        const std::uint64_t last = agent::lastHashOf(this->state.map, this->upstream.service, slice);
        addWanted(wanted, {{slice.begin, last, slice.epoch}, slice.handover});
    }
    return wanted;
}

/** @return the revoked key ranges; records that their revokes are sent, so that they get no new work from now on */
std::vector<agent::HeldRange> CallGrants::unwanted()
{
    std::vector<agent::HeldRange> unwanted;
    agent::Ownership &ownership = this->state.ownership;
    for (const agent::SliceKey &key : ownership.revoked) {
        if (key.service != this->upstream.service) {
            continue;
        }
        agent::Slice slice;
        slice.begin = key.begin;
        const std::uint64_t last = agent::lastHashOf(this->state.map, key.service, slice);
        ownership.revokesSent.insert(key);
        if (!unwanted.empty() && unwanted.back().last + 1 == key.begin && unwanted.back().epoch == key.epoch) {
            unwanted.back().last = last;
        } else {
            unwanted.push_back({key.begin, last, key.epoch});
        }
    }
    return unwanted;
}

void CallGrants::recordKeyNotHeld(std::uint64_t hash)
{
    agent::recordKeyNotHeld(this->orders, hash);
    this->sendDueOrders();
}

void CallGrants::processEnded()
{
    agent::forgetAll(this->orders);
    this->loop.cancel(this->timer);
    this->timer = 0;
}

} // namespace bergamotweir::process
