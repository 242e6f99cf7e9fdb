#include "base/KeyHash.h"
#include "loop/Log.h"
#include "loop/LogEvent.h"
#include "process/AgentProtocol.h"
#include "process/AgentState.h"
#include "process/LocalUpstream.h"

#include <algorithm>

namespace bergamotweir::process {

namespace {

using std::chrono::milliseconds;

/** Largest rate by which an upstream's clock lags; a hold is shortened by it to end within the lease. */
constexpr double SlowClock = 0.02;
/** Minimum remaining lease for which a grant is issued. */
constexpr milliseconds ShortestHold{200};
/** Maximum hold time that an upstream accepts. */
constexpr milliseconds LongestHold{10000};

/** Maximum rows in one answer; upstreams read 4 KiB at most, a row takes about 45 bytes. */
constexpr std::size_t MostRows = 80;

constexpr loop::Log Log("upstream");

agent::HeldRange toHeld(const KeyRange &keys, std::uint64_t epoch)
{
    return {hashOfNumberedKey(keys.first), hashOfNumberedKey(keys.last) + (NumberedKeyWidth - 1), epoch};
}

KeyRange toKeys(std::uint64_t first, std::uint64_t last)
{
    return {static_cast<std::uint32_t>(first / NumberedKeyWidth), static_cast<std::uint32_t>(last / NumberedKeyWidth)};
}

/** Appends a grant; merges adjacent ranges of the same epoch without handovers, to keep heartbeat answers small. */
void addGrant(std::vector<KeyGrant> &grants, KeyGrant grant)
{
    if (!grants.empty()) {
        KeyGrant &before = grants.back();
        const bool plain = before.handover.empty() && grant.handover.empty() && before.epoch == grant.epoch;
        if (plain && before.keys.last + 1 == grant.keys.first) {
            before.keys.last = grant.keys.last;
            return;
        }
    }
    if (grants.size() < MostRows) {
        grants.push_back(std::move(grant));
    }
}

} // namespace

HeartbeatAnswer LocalUpstream::heartbeat(const Heartbeat &heartbeat)
{
    const BootTime now = BootClock::now();
    this->lastAnnounced = now;
    if (this->sequence && heartbeat.sequence <= *this->sequence) {
        Log.info(this->latest.name + ": a heartbeat came late");
        this->events.heartbeatLate();
        return {};
    }
    this->sequence = heartbeat.sequence;
    agent::setCold(this->gate, heartbeat.coldFor.count() > 0 ? now + heartbeat.coldFor : BootTime());
    const bool leaves = heartbeat.isDraining && this->leavingSince == BootTime();
    if (leaves) {
        Log.info(this->latest.name + ": leaving");
        this->leavingSince = now;
    }
    const bool differs = heartbeat.announcement != this->latest;
    this->latest = heartbeat.announcement;
    if (!heartbeat.isDeregistration && this->grantsByHeartbeat()) {
        this->holdsReported(heartbeat);
    }
    if (this->present == UpstreamStatus::Frozen) {
        this->setStatus(UpstreamStatus::Serving);
    } else if (this->present == UpstreamStatus::Crashed) {
        // Either the refused connection was an accident, or the heartbeat was sent before the end.
        this->present = UpstreamStatus::Frozen;
        this->checkHealth(true);
    }
    if (differs) {
        this->applyTable();
    }
    if (differs || leaves) {
        this->events.changed();
    }
    HeartbeatAnswer answer;
    if (!this->grantsByHeartbeat()) {
        this->lookAtGrants();
        return answer;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(this->state.lease.validUntil - now);
    const auto hold = milliseconds(static_cast<milliseconds::rep>(static_cast<double>(left.count()) / (1 + SlowClock)));
    if (heartbeat.isDeregistration || this->present != UpstreamStatus::Serving || hold < ShortestHold) {
        return answer;
    }
    answer.grants = this->grantKeys();
    answer.holdFor = std::min(hold, LongestHold);
    this->recordHeld(answer.grants, *answer.holdFor);
    return answer;
}

/** The upstream's own word on what it holds goes before what it was granted; what it gave up may be released. */
void LocalUpstream::holdsReported(const Heartbeat &heartbeat)
{
    std::vector<agent::HeldRange> held;
    for (const HeldKeys &row : heartbeat.held) {
        held.push_back(toHeld(row.keys, row.epoch));
    }
    agent::Ownership &ownership = this->state.ownership;
    ownership.held[this->latest.service] = std::move(held);
    ownership.servicesReported.insert(this->latest.service);
    for (const ReleasedKeys &row : heartbeat.releasedKeys) {
        const agent::HeldRange freed = toHeld(row.keys, 0);
        for (const agent::SliceKey &key : ownership.revoked) {
            if (key.service == this->latest.service && freed.first <= key.begin && key.begin <= freed.last) {
                ownership.handovers[key] = row.handover;
            }
        }
    }
    this->events.workEnded();
}

std::vector<KeyGrant> LocalUpstream::grantKeys()
{
    std::vector<KeyGrant> grants;
    const std::uint32_t own = this->id();
    const auto slices = this->state.map.slices.find(this->latest.service);
    if (own == 0 || slices == this->state.map.slices.end()) {
        return grants;
    }
    agent::Ownership &ownership = this->state.ownership;
    for (const agent::Slice &slice : slices->second) {
        const agent::SliceKey key{this->latest.service, slice.begin, slice.epoch};
        if (slice.owner != own || ownership.released.contains(key)) {
            continue;
        }
        if (ownership.revoked.contains(key)) {
            ownership.revokesSent.insert(key);
            continue;
        }
        const std::uint64_t last = agent::lastHashOf(this->state.map, this->latest.service, slice);
        addGrant(grants, {toKeys(slice.begin, last), slice.epoch, slice.handover});
    }
    return grants;
}

void LocalUpstream::recordHeld(const std::vector<KeyGrant> &grants, milliseconds holdFor)
{
    std::vector<agent::HeldRange> &held = this->state.ownership.held[this->latest.service];
    for (const KeyGrant &grant : grants) {
        const agent::HeldRange range = toHeld(grant.keys, grant.epoch);
        if (std::find(held.begin(), held.end(), range) == held.end()) {
            held.push_back(range);
        }
    }
    const auto longest =
        milliseconds(static_cast<milliseconds::rep>(static_cast<double>(holdFor.count()) * (1 + SlowClock)));
    this->heldUntil = std::max(this->heldUntil, BootClock::now() + longest);
    this->loop.cancel(this->holdTimer);
    this->holdTimer = this->loop.after(this->heldUntil - BootClock::now(), [this] {
        this->holdTimer = 0;
        this->holdsEnded();
    });
}

/** Neither way is known before the agent has the routes. */
bool LocalUpstream::grantsByHeartbeat() const
{
    const table::RoutedService *const routed = this->state.table.routes().service(this->latest.service);
    return routed != nullptr && !routed->grantsByCall;
}

bool LocalUpstream::grantsByCall() const
{
    const table::RoutedService *const routed = this->state.table.routes().service(this->latest.service);
    return routed != nullptr && routed->grantsByCall;
}

void LocalUpstream::lookAtGrants()
{
    if (this->present != UpstreamStatus::Crashed && this->grantsByCall()) {
        this->callGrants.look(this->latest, this->id(), this->present == UpstreamStatus::Serving);
    }
}

void LocalUpstream::handleKeyNotHeld(const Dispatch &request)
{
    Log.event(loop::LogLevel::Warn, "key disowned by the upstream", loop::FailureBound)
        .with("request", request.requestId)
        .with("upstream", this->latest.name)
        .with("keyed", request.keyed)
        .with("epoch", request.epoch);
    if (!request.keyed) {
        return;
    }
    agent::recordKeyNotHeld(this->state.ownership, request.service, request.hash);
    if (this->grantsByCall()) {
        this->callGrants.recordKeyNotHeld(request.hash);
    }
}

void LocalUpstream::holdsEnded()
{
    this->loop.cancel(this->holdTimer);
    this->holdTimer = 0;
    this->state.ownership.held.erase(this->latest.service);
    this->events.workEnded();
}

} // namespace bergamotweir::process
