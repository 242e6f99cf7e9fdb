#include "agent/LimitShares.h"

#include <control.pb.h>

#include <algorithm>
#include <cmath>

namespace bergamotweir::agent {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

constexpr milliseconds ReportInterval{1000};
/** Minimum time between two renewals sent early to ask for permits; doubled after each one until permits are granted.
 */
constexpr milliseconds MinAskInterval{100};
constexpr milliseconds MaxAskInterval{800};
/** Weight of the last sample in the smoothed demand. */
constexpr double SampleWeight = 0.15;
/** Requests per second below which a workspace counts as unused here. */
constexpr double MinDemand = 0.05;
/** Demand is reported again when it has changed by this fraction of the last report and by MinAbsoluteChange. */
constexpr double MinRelativeChange = 0.2;
constexpr double MinAbsoluteChange = 0.3;
/** Factor by which an agent's clock may run too fast. */
constexpr double ClockMargin = 1.02;
/** Added before rounding down, so that rounding errors of the share don't cost a request. */
constexpr double RoundingTolerance = 1e-6;
/** Time until a requested permit arrives, including the interval between two requests for permits. */
constexpr milliseconds PermitDelay{150};
constexpr milliseconds MaxRetryAfter{2000};
/** Maximum number of permits requested at once for one workspace. */
constexpr unsigned MaxPermitsWanted = 64;

/** Drops the shares once their lease has expired; the next report informs control. */
void removeExpiredShares(LimitShares &shares, BootTime now)
{
    if (now < shares.validUntil) {
        return;
    }
    for (auto &[name, share] : shares.workspaces) {
        shares.reportAll = shares.reportAll || share.share > 0;
        share.share = 0;
    }
}

/** @return seconds since the last sample, at least 1 */
double secondsSinceSample(const LimitShares &shares, BootTime now)
{
    return shares.sampledAt == BootTime() ? 1 : std::max(1.0, Seconds(now - shares.sampledAt).count());
}

void removeExpired(LimitShare &share, const table::LimitBounds &bounds, BootTime now)
{
    const auto window = std::chrono::duration_cast<BootClock::duration>(ClockMargin * Seconds(bounds.window));
    while (!share.used.empty() && share.used.front() + window <= now) {
        share.used.pop_front();
    }
    while (!share.permits.empty() && share.permits.front() <= now) {
        share.permits.pop_front();
    }
}

/** @return the retry-after for callers that are refused now */
milliseconds retryAfter(const LimitShare &share, const table::LimitBounds &bounds, BootTime now)
{
    if (share.permitsWanted <= MaxPermitsWanted || share.used.empty()) {
        return PermitDelay;
    }
    const auto wait = std::chrono::duration_cast<milliseconds>(share.used.front() + bounds.window - now);
    return std::clamp(wait, PermitDelay, MaxRetryAfter);
}

/** Ends a sample. */
void recordDemand(LimitShare &share, double seconds)
{
    const double sample = share.offered / seconds;
    share.demand += SampleWeight * (sample - share.demand);
    share.offered = 0;
    if (share.demand < MinDemand) {
        share.demand = 0;
    }
}

bool isWorthReporting(const LimitShare &share)
{
    const double change = std::abs(share.demand - share.reported);
    return share.reported < 0 || (share.demand == 0 && share.reported > 0)
           || change > std::max(MinAbsoluteChange, MinRelativeChange * share.reported);
}

bool isUnused(const LimitShare &share)
{
    return share.share <= 0 && share.demand <= 0 && share.offered <= 0 && share.reported <= 0 && share.used.empty()
           && share.permits.empty();
}

} // namespace

bool isAdmitted(const LimitDecision &decision)
{
    return decision.verdict == LimitVerdict::Admitted || decision.verdict == LimitVerdict::Permitted;
}

LimitDecision admit(LimitShares &shares, const table::Workspace &workspace, BootTime now)
{
    if (!table::isLimited(workspace)) {
        return {};
    }
    LimitShare &share = shares.workspaces[workspace.name];
    share.offered += 1;
    removeExpiredShares(shares, now);
    removeExpired(share, shares.bounds, now);
    const bool canUseShare = now >= shares.startedAt + shares.bounds.window;
    const double maxByShare =
        canUseShare ? std::floor(share.share * table::maxInWindow(workspace, shares.bounds) + RoundingTolerance) : 0;
    LimitDecision decision;
    if (static_cast<double>(share.used.size()) < maxByShare) {
        share.used.push_back(now);
        share.wantsExtraPermit = static_cast<double>(share.used.size()) >= maxByShare && share.permits.empty();
    } else if (!share.permits.empty()) {
        share.permits.pop_front();
        share.wantsExtraPermit = share.permits.empty() && share.share > 0;
        decision.verdict = LimitVerdict::Permitted;
    } else {
        ++share.permitsWanted;
        decision.verdict = share.share <= 0 ? LimitVerdict::NoShare : LimitVerdict::OverLimit;
        decision.retryAfter = retryAfter(share, shares.bounds, now);
    }
    decision.shouldAskControl =
        (share.permitsWanted > 0 || share.wantsExtraPermit) && now - shares.askedAt >= shares.askInterval;
    if (decision.shouldAskControl) {
        shares.askedAt = now;
        shares.askInterval = std::min(2 * shares.askInterval, MaxAskInterval);
    }
    return decision;
}

void returnAdmission(LimitShares &shares, const std::string &workspace)
{
    const auto found = shares.workspaces.find(workspace);
    if (found != shares.workspaces.end() && !found->second.used.empty()) {
        found->second.used.pop_back();
    }
}

void beginLimitSession(LimitShares &shares)
{
    shares.reportAll = true;
    shares.appliedSequence = 0;
}

void reportDemand(LimitShares &shares, wire::Renew &renew, bool atOnce, BootTime now)
{
    removeExpiredShares(shares, now);
    renew.set_shares_applied(shares.appliedSequence);
    const bool due = now - shares.sampledAt >= ReportInterval;
    if (!due && !atOnce && !shares.reportAll) {
        return;
    }
    renew.set_all_shares(shares.reportAll);
    const double seconds = secondsSinceSample(shares, now);
    for (auto &[name, share] : shares.workspaces) {
        removeExpired(share, shares.bounds, now);
        if (due) {
            recordDemand(share, seconds);
        }
        if (!shares.reportAll && share.permitsWanted == 0 && !share.wantsExtraPermit
            && !(due && isWorthReporting(share))) {
            continue;
        }
        share.reported = std::max(share.demand, SampleWeight * share.offered / seconds);
        wire::WorkspaceDemand &demand = *renew.add_demands();
        demand.set_workspace(name);
        demand.set_per_second(static_cast<float>(share.reported));
        demand.set_share(share.share);
        demand.set_permits_wanted(std::min(share.permitsWanted, MaxPermitsWanted));
        demand.set_permit_ahead(share.wantsExtraPermit);
        share.permitsWanted = 0;
        share.wantsExtraPermit = false;
    }
    std::erase_if(shares.workspaces, [](const auto &entry) {
        return isUnused(entry.second);
    });
    shares.reportAll = false;
    if (due) {
        shares.sampledAt = now;
    }
}

void applyShares(LimitShares &shares, const wire::Renewed &renewed, BootTime sentAt, BootTime now)
{
    if (renewed.share_lease_ms() == 0) {
        return;
    }
    removeExpiredShares(shares, now);
    shares.validUntil = std::max(shares.validUntil, sentAt + milliseconds(renewed.share_lease_ms()));
    shares.appliedSequence = renewed.sequence();
    for (const wire::WorkspaceShare &granted : renewed.shares()) {
        LimitShare &share = shares.workspaces[granted.workspace()];
        if (granted.has_share()) {
            share.share = granted.share();
        }
        const BootTime until = sentAt + milliseconds(renewed.permit_ms());
        share.permits.insert(share.permits.end(), granted.permits(), until);
        if (granted.permits() > 0) {
            shares.askInterval = MinAskInterval;
        }
    }
}

} // namespace bergamotweir::agent
