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

/** Maximum rate by which an upstream's clock lags; a grant is shortened by it to expire within the lease. */
constexpr double MaxClockSlowdown = 0.02;
/** Minimum remaining lease for which a grant is issued. */
constexpr milliseconds MinGrantDuration{200};
/** Maximum duration of a grant that an upstream accepts. */
constexpr milliseconds MaxGrantDuration{10000};

/** Maximum number of rows in one answer: upstreams read at most 4 KiB, and a row takes about 45 bytes. */
constexpr std::size_t MaxGrantRows = 80;

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
    if (grants.size() < MaxGrantRows) {
        grants.push_back(std::move(grant));
    }
}

} // namespace

HeartbeatAnswer LocalUpstream::applyHeartbeat(const Heartbeat &heartbeat)
{
    const BootTime now = BootClock::now();
    this->lastAnnouncedAt = now;
    if (this->sequence && heartbeat.sequence <= *this->sequence) {
        Log.info(this->latestAnnouncement.name + ": heartbeat came late, ignored");
        this->events.heartbeatLate();
        return {};
    }
    this->sequence = heartbeat.sequence;
    agent::setCold(this->gate, heartbeat.coldFor.count() > 0 ? now + heartbeat.coldFor : BootTime());
    const bool startsLeaving = heartbeat.isDraining && this->recordLeaving("heartbeat", now);
    const bool differs = heartbeat.announcement != this->latestAnnouncement;
    this->latestAnnouncement = heartbeat.announcement;
    if (heartbeat.listsKeys && this->grantsByHeartbeat()) {
        this->recordReportedKeys(heartbeat);
    }
    if (this->currentStatus == UpstreamStatus::Frozen) {
        this->setStatus(UpstreamStatus::Serving);
    } else if (this->currentStatus == UpstreamStatus::Crashed) {
        // Either the process didn't end although a connection was refused, or it sent the heartbeat before its end.
        this->currentStatus = UpstreamStatus::Frozen;
        this->checkHealth(true);
    }
    if (differs) {
        this->applyTable();
    }
    if (differs || startsLeaving) {
        this->events.changed();
    }
    if (!this->grantsByHeartbeat()) {
        this->updateCallGrants();
        return {};
    }
    return this->answerHeartbeat(heartbeat);
}

void LocalUpstream::recover(milliseconds coldFor)
{
    agent::setCold(this->gate, coldFor.count() > 0 ? BootClock::now() + coldFor : BootTime());
    const std::string &service = this->latestAnnouncement.service;
    const std::uint32_t own = this->id();
    const auto slices = this->state.map.slices.find(service);
    if (own == 0 || slices == this->state.map.slices.end() || !this->grantsByHeartbeat()) {
        return;
    }
    std::vector<agent::HeldRange> &held = this->state.ownership.held[service];
    for (const agent::Slice &slice : slices->second) {
        if (slice.owner == own) {
            held.push_back({slice.begin, agent::lastHashOf(this->state.map, service, slice), slice.epoch});
        }
    }
}

milliseconds LocalUpstream::allowedGrantDuration() const
{
    const auto remainingLease =
        std::chrono::duration_cast<milliseconds>(this->state.lease.validUntil - BootClock::now());
    const auto duration = milliseconds(
        static_cast<milliseconds::rep>(static_cast<double>(remainingLease.count()) / (1 + MaxClockSlowdown)));
    const bool canGrant = this->currentStatus == UpstreamStatus::Serving && duration >= MinGrantDuration;
    return canGrant ? std::min(duration, MaxGrantDuration) : milliseconds(0);
}

HeartbeatAnswer LocalUpstream::answerHeartbeat(const Heartbeat &heartbeat)
{
    const milliseconds duration = this->allowedGrantDuration();
    if (heartbeat.isDeregistration || duration.count() == 0) {
        return {};
    }
    HeartbeatAnswer answer;
    answer.grants = this->grantKeys();
    answer.holdFor = duration;
    this->recordHeld(answer.grants, duration);
    return answer;
}

bool LocalUpstream::canGrantKeys() const
{
    const std::uint32_t own = this->id();
    const auto slices = this->state.map.slices.find(this->latestAnnouncement.service);
    if (own == 0 || slices == this->state.map.slices.end() || this->allowedGrantDuration().count() == 0) {
        return false;
    }
    const agent::Ownership &ownership = this->state.ownership;
    return std::any_of(slices->second.begin(), slices->second.end(), [&](const agent::Slice &slice) {
        const agent::SliceKey key{this->latestAnnouncement.service, slice.begin, slice.epoch};
        return slice.owner == own && !ownership.released.contains(key) && !ownership.revoked.contains(key);
    });
}

bool LocalUpstream::awaitsFirstKeys(const Heartbeat &heartbeat, const HeartbeatAnswer &answer) const
{
    const table::RoutedService *const routed = this->state.table.routes().service(this->latestAnnouncement.service);
    const bool mayHoldKeys = routed != nullptr && routed->listsKeysInHeartbeats();
    return mayHoldKeys && !heartbeat.isDeregistration && this->takesWork() && heartbeat.held.empty()
           && answer.grants.empty();
}

/**
 * Replaces the recorded held keys by those that the upstream reports: its report takes precedence over what it was
 * granted. Stores the handovers of released keys, whose slices may now be released.
 */
void LocalUpstream::recordReportedKeys(const Heartbeat &heartbeat)
{
    std::vector<agent::HeldRange> held;
    for (const HeldKeys &row : heartbeat.held) {
        held.push_back(toHeld(row.keys, row.epoch));
    }
    agent::Ownership &ownership = this->state.ownership;
    ownership.held[this->latestAnnouncement.service] = std::move(held);
    ownership.servicesReported.insert(this->latestAnnouncement.service);
    for (const ReleasedKeys &row : heartbeat.releasedKeys) {
        const agent::HeldRange releasedRange = toHeld(row.keys, 0);
        for (const agent::SliceKey &key : ownership.revoked) {
            if (key.service == this->latestAnnouncement.service && releasedRange.first <= key.begin
                && key.begin <= releasedRange.last) {
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
    const auto slices = this->state.map.slices.find(this->latestAnnouncement.service);
    if (own == 0 || slices == this->state.map.slices.end()) {
        return grants;
    }
    agent::Ownership &ownership = this->state.ownership;
    for (const agent::Slice &slice : slices->second) {
        const agent::SliceKey key{this->latestAnnouncement.service, slice.begin, slice.epoch};
        if (slice.owner != own || ownership.released.contains(key)) {
            continue;
        }
        if (ownership.revoked.contains(key)) {
            ownership.revokesSent.insert(key);
            continue;
        }
        const std::uint64_t last = agent::lastHashOf(this->state.map, this->latestAnnouncement.service, slice);
        addGrant(grants, {toKeys(slice.begin, last), slice.epoch, slice.handover});
    }
    return grants;
}

void LocalUpstream::recordHeld(const std::vector<KeyGrant> &grants, milliseconds holdFor)
{
    std::vector<agent::HeldRange> &held = this->state.ownership.held[this->latestAnnouncement.service];
    for (const KeyGrant &grant : grants) {
        const agent::HeldRange range = toHeld(grant.keys, grant.epoch);
        if (std::find(held.begin(), held.end(), range) == held.end()) {
            held.push_back(range);
        }
    }
    const auto maxHoldTime =
        milliseconds(static_cast<milliseconds::rep>(static_cast<double>(holdFor.count()) * (1 + MaxClockSlowdown)));
    this->grantsExpireAt = std::max(this->grantsExpireAt, BootClock::now() + maxHoldTime);
    this->loop.cancel(this->heldKeysTimer);
    this->heldKeysTimer = this->loop.after(this->grantsExpireAt - BootClock::now(), [this] {
        this->heldKeysTimer = 0;
        this->forgetHeldKeys();
        this->updateCallGrants();
    });
}

/** False, as grantsByCall() is, until the agent has the routes, which say how grants are sent. */
bool LocalUpstream::grantsByHeartbeat() const
{
    const table::RoutedService *const routed = this->state.table.routes().service(this->latestAnnouncement.service);
    return routed != nullptr && !routed->grantsByCall;
}

bool LocalUpstream::grantsByCall() const
{
    const table::RoutedService *const routed = this->state.table.routes().service(this->latestAnnouncement.service);
    return routed != nullptr && routed->grantsByCall;
}

void LocalUpstream::updateCallGrants()
{
    // Keys granted by heartbeats, before the table changed the way, are recorded as held until they have expired.
    const bool areOtherGrantsExpired = BootClock::now() >= this->grantsExpireAt;
    if (this->currentStatus != UpstreamStatus::Crashed && this->grantsByCall() && areOtherGrantsExpired) {
        this->callGrants.update(this->latestAnnouncement, this->id(), this->currentStatus == UpstreamStatus::Serving);
    }
}

void LocalUpstream::handleKeyNotHeld(const Dispatch &request)
{
    Log.event(loop::LogLevel::Warn, "key disowned by the upstream", loop::FailureBound)
        .with("request", request.requestId)
        .with("upstream", this->latestAnnouncement.name)
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

bool LocalUpstream::mayHoldKeys() const
{
    const auto held = this->state.ownership.held.find(this->latestAnnouncement.service);
    return held != this->state.ownership.held.end() && !held->second.empty();
}

void LocalUpstream::forgetHeldKeys()
{
    this->loop.cancel(this->heldKeysTimer);
    this->heldKeysTimer = 0;
    this->state.ownership.held.erase(this->latestAnnouncement.service);
    this->events.workEnded();
}

} // namespace bergamotweir::process
