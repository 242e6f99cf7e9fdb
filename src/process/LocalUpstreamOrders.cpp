#include "process/AgentState.h"
#include "process/LocalUpstream.h"

#include <algorithm>

namespace bergamotweir::process {

namespace {

using std::chrono::milliseconds;

/** Grants expire with the lease; they are renewed well before, and only for an upstream that checks grants. */
constexpr milliseconds GrantInterval{180};

std::uint64_t endOf(const std::vector<agent::Slice> &slices, std::size_t index)
{
    return index + 1 < slices.size() ? slices[index + 1].begin : 0;
}

} // namespace

std::vector<Grant> LocalUpstream::grants() const
{
    const BootTime now = BootClock::now();
    const std::uint32_t own = this->id();
    Grant grant;
    grant.service = this->latestAnnouncement.service;
    const auto found = this->state.map.slices.find(grant.service);
    if (own == 0 || found == this->state.map.slices.end() || !agent::isValidAt(this->state.lease, now)) {
        return {};
    }
    const std::vector<agent::Slice> &slices = found->second;
    for (std::size_t index = 0; index < slices.size(); index++) {
        const agent::Slice &slice = slices[index];
        const agent::SliceKey key{grant.service, slice.begin, slice.epoch};
        if (slice.owner != own || this->state.ownership.revoked.contains(key)
            || this->state.ownership.released.contains(key)) {
            continue;
        }
        grant.ranges.push_back({slice.begin, endOf(slices, index)});
        grant.epoch = std::max(grant.epoch, slice.epoch);
    }
    // The upstream refuses an epoch older than the newest it received, and the slice with that epoch may have moved
    // away.
    grant.epoch = std::max(grant.epoch, this->grantedEpoch);
    // Rounding down keeps the upstream's grant within the lease.
    grant.expires = std::chrono::duration_cast<milliseconds>(this->state.lease.validUntil - now);
    return {grant};
}

void LocalUpstream::renewGrants()
{
    const bool due = this->latestAnnouncement.checksGrants && BootClock::now() - this->grantSentAt >= GrantInterval;
    if (due || this->grantSentAt == BootTime()) {
        this->sendGrants();
    }
}

void LocalUpstream::sendGrants()
{
    if (this->currentStatus == UpstreamStatus::Crashed) {
        return;
    }
    if (this->isGrantInFlight) {
        this->needsAnotherGrant = true;
        return;
    }
    for (const Grant &grant : this->grants()) {
        this->grantSentAt = BootClock::now();
        this->isGrantInFlight = true;
        const std::uint64_t epoch = grant.epoch;
        this->client.send(grantsCall(upstreamAddress(this->latestAnnouncement), grant),
                          [this, epoch](const net::CallResult &result) {
                              this->isGrantInFlight = false;
                              if (result.outcome == net::CallOutcome::Answered) {
                                  this->grantedEpoch = std::max(this->grantedEpoch, epoch);
                              }
                              if (std::exchange(this->needsAnotherGrant, false)) {
                                  this->sendGrants();
                              }
                          });
    }
}

void LocalUpstream::sendRevoke(const wire::Revoke &order)
{
    const auto slices = this->state.map.slices.find(this->latestAnnouncement.service);
    Grant revoked;
    revoked.service = this->latestAnnouncement.service;
    for (const wire::SliceRef &slice : order.slices()) {
        if (slice.service() != this->latestAnnouncement.service || slices == this->state.map.slices.end()) {
            continue;
        }
        for (std::size_t index = 0; index < slices->second.size(); index++) {
            if (slices->second[index].begin == slice.begin()) {
                revoked.ranges.push_back({slice.begin(), endOf(slices->second, index)});
                revoked.epoch = std::max({revoked.epoch, slice.epoch(), this->grantedEpoch});
            }
        }
    }
    if (!revoked.ranges.empty()) {
        this->client.send(revokeCall(upstreamAddress(this->latestAnnouncement), revoked),
                          [](const net::CallResult &) {});
    }
}

} // namespace bergamotweir::process
