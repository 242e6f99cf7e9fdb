#include "agent/LimitShares.h"

#include "table/RouteTable.h"

#include <control.pb.h>

#include <algorithm>
#include <cmath>

namespace bergamotweir::agent {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

constexpr milliseconds ReportInterval{1000};
/** Minimum time between two renewals that are sent ahead of time for demand. */
constexpr milliseconds AskInterval{200};
/** Share of the last sample in the smoothed demand. */
constexpr double SampleWeight = 0.4;
/** Requests a second below which a workspace counts as unused here. */
constexpr double LeastDemand = 0.05;
/** A demand is reported again when it differs from the report by this part, and by LeastChange at least. */
constexpr double ReportedChange = 0.2;
constexpr double LeastChange = 0.3;
/** Demand of so many times the reported one is told at once. */
constexpr double DemandJump = 1.5;
/** Clocks of agents may run so much too fast. */
constexpr double ClockMargin = 0.98;
constexpr milliseconds ShortestRetryAfter{50};
constexpr milliseconds LongestRetryAfter{2000};
constexpr milliseconds ShareRoundTrip{150};

/** Drops the shares once their lease has ended; control is told with the next report. */
void dropEndedShares(LimitShares &shares, BootTime now)
{
    if (now < shares.validUntil) {
        return;
    }
    for (auto &[name, share] : shares.workspaces) {
        shares.reportAll = shares.reportAll || share.share > 0;
        share.share = 0;
        share.tokens = 0;
    }
}

double secondsSinceSample(const LimitShares &shares, BootTime now)
{
    return shares.sampledAt == BootTime() ? 1 : std::max(1.0, Seconds(now - shares.sampledAt).count());
}

bool isUnknown(const LimitShare &share)
{
    return share.share <= 0 || share.reported < 0;
}

bool hasJumped(const LimitShare &share, double seconds)
{
    return share.offered / seconds > DemandJump * share.reported + 1;
}

void refill(LimitShare &share, const table::Workspace &workspace, const table::LimitBounds &bounds, BootTime now)
{
    const double elapsed = std::max(0.0, Seconds(now - share.refilledAt).count());
    share.tokens += ClockMargin * share.share * workspace.ratePerSecond * elapsed;
    share.tokens = std::min(share.tokens, share.share * table::mostTokens(workspace, bounds));
    share.refilledAt = now;
}

bool wantsToAsk(LimitShares &shares, const LimitShare &share, BootTime now)
{
    const bool tells = isUnknown(share) || hasJumped(share, secondsSinceSample(shares, now));
    if (!tells || now - shares.askedAt < AskInterval) {
        return false;
    }
    shares.askedAt = now;
    return true;
}

milliseconds untilNextToken(const LimitShare &share, const table::Workspace &workspace)
{
    const double perSecond = share.share * workspace.ratePerSecond;
    const auto wait = std::chrono::duration_cast<milliseconds>(Seconds((1 - share.tokens) / perSecond));
    return std::clamp(wait, ShortestRetryAfter, LongestRetryAfter);
}

/** Ends a sample. */
void noteDemand(LimitShare &share, double seconds)
{
    const double sample = share.offered / seconds;
    share.demand = share.reported < 0 ? sample : share.demand + SampleWeight * (sample - share.demand);
    share.offered = 0;
    if (share.demand < LeastDemand) {
        share.demand = 0;
    }
}

bool isWorthReporting(const LimitShare &share)
{
    const double change = std::abs(share.demand - share.reported);
    return share.reported < 0 || (share.demand == 0 && share.reported > 0)
           || change > std::max(LeastChange, ReportedChange * share.reported);
}

} // namespace

LimitDecision takeToken(LimitShares &shares, const table::Workspace &workspace, BootTime now)
{
    if (!table::isLimited(workspace)) {
        return {};
    }
    LimitShare &share = shares.workspaces[workspace.name];
    share.offered += 1;
    dropEndedShares(shares, now);
    refill(share, workspace, shares.bounds, now);
    LimitDecision decision;
    decision.ask = wantsToAsk(shares, share, now);
    if (share.tokens >= 1) {
        share.tokens -= 1;
    } else if (share.share <= 0) {
        decision.verdict = LimitVerdict::NoShare;
        decision.retryAfter = ShareRoundTrip;
    } else {
        decision.verdict = LimitVerdict::OverLimit;
        decision.retryAfter = untilNextToken(share, workspace);
    }
    return decision;
}

void giveBackToken(LimitShares &shares, const table::Workspace &workspace)
{
    const auto found = shares.workspaces.find(workspace.name);
    if (!table::isLimited(workspace) || found == shares.workspaces.end()) {
        return;
    }
    LimitShare &share = found->second;
    share.tokens = std::min(share.tokens + 1, share.share * table::mostTokens(workspace, shares.bounds));
}

void beginLimitSession(LimitShares &shares)
{
    shares.reportAll = true;
    shares.appliedSequence = 0;
}

void reportDemand(LimitShares &shares, wire::Renew &renew, bool atOnce, BootTime now)
{
    dropEndedShares(shares, now);
    renew.set_shares_applied(shares.appliedSequence);
    const bool due = now - shares.sampledAt >= ReportInterval;
    if (!due && !atOnce && !shares.reportAll) {
        return;
    }
    renew.set_all_shares(shares.reportAll);
    const double seconds = secondsSinceSample(shares, now);
    for (auto &[name, share] : shares.workspaces) {
        if (due) {
            noteDemand(share, seconds);
        }
        const double provisional = std::max(share.demand, share.offered / seconds);
        if (!shares.reportAll && !isWorthReporting(share) && !hasJumped(share, seconds)) {
            continue;
        }
        share.reported = provisional;
        wire::WorkspaceDemand &demand = *renew.add_demands();
        demand.set_workspace(name);
        demand.set_per_second(provisional);
        demand.set_share(share.share);
    }
    std::erase_if(shares.workspaces, [](const auto &entry) {
        const LimitShare &share = entry.second;
        return share.share <= 0 && share.demand <= 0 && share.offered <= 0 && share.reported <= 0;
    });
    shares.reportAll = false;
    if (due) {
        shares.sampledAt = now;
    }
}

void applyShares(
    LimitShares &shares, const table::RouteTable &routes, const wire::Renewed &renewed, BootTime sentAt, BootTime now)
{
    if (renewed.share_lease_ms() == 0) {
        return;
    }
    dropEndedShares(shares, now);
    shares.validUntil = std::max(shares.validUntil, sentAt + milliseconds(renewed.share_lease_ms()));
    shares.appliedSequence = renewed.sequence();
    for (const wire::WorkspaceShare &granted : renewed.shares()) {
        LimitShare &share = shares.workspaces[granted.workspace()];
        const table::Workspace *workspace = routes.workspace(granted.workspace());
        if (workspace != nullptr) {
            refill(share, *workspace, shares.bounds, now);
        }
        share.share = granted.share();
        share.tokens = workspace == nullptr ? 0 : share.tokens + granted.tokens();
        if (workspace != nullptr) {
            refill(share, *workspace, shares.bounds, now);
        }
        share.refilledAt = now;
    }
}

} // namespace bergamotweir::agent
