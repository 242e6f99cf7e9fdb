#include "agent/Lease.h"

#include <control.pb.h>

#include <algorithm>
#include <cassert>

namespace bergamotweir::agent {

void beginSession(Lease &lease, std::uint64_t session)
{
    assert(session != 0);
    lease.session = session;
    lease.fullStateApplied = false;
    lease.sent.clear();
}

void endSession(Lease &lease)
{
    lease.session = 0;
    lease.fullStateApplied = false;
    lease.sent.clear();
}

void recordFullState(Lease &lease, std::uint64_t session)
{
    if (session == lease.session) {
        lease.fullStateApplied = true;
    }
}

std::uint64_t recordRenewal(Lease &lease, BootTime now)
{
    lease.lastSequence++;
    lease.sent.push_back({lease.lastSequence, now});
    if (lease.sent.size() > MaxSentRenewals) {
        lease.sent.pop_front();
    }
    return lease.lastSequence;
}

bool confirmRenewal(Lease &lease, std::uint64_t session, const wire::Renewed &renewed)
{
    if (session == 0 || session != lease.session || !lease.fullStateApplied) {
        return false;
    }
    const auto found = std::find_if(lease.sent.begin(), lease.sent.end(), [&](const SentRenewal &renewal) {
        return renewal.sequence == renewed.sequence();
    });
    if (found == lease.sent.end()) {
        return false;
    }
    const BootTime until = found->sentAt + std::chrono::milliseconds(renewed.lease_ms());
    lease.validUntil = std::max(lease.validUntil, until);
    lease.confirmedAt = std::max(lease.confirmedAt, found->sentAt);
    lease.sent.erase(lease.sent.begin(), found + 1);
    return true;
}

std::optional<BootTime> sentAt(const Lease &lease, std::uint64_t session, std::uint64_t sequence)
{
    const auto found = std::find_if(lease.sent.begin(), lease.sent.end(), [&](const SentRenewal &renewal) {
        return renewal.sequence == sequence;
    });
    return session != lease.session || found == lease.sent.end() ? std::nullopt : std::optional(found->sentAt);
}

bool isValidAt(const Lease &lease, BootTime now)
{
    return now < lease.validUntil;
}

} // namespace bergamotweir::agent
