#include "agent/LimitShares.h"

#include <control.pb.h>

#include <algorithm>
#include <cmath>

namespace bergamotweir::agent {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

constexpr milliseconds ReportInterval{1000};
/** Minimum time between two renewals that are sent ahead of time for permits; doubled while none are handed out. */
constexpr milliseconds ShortestAskInterval{100};
constexpr milliseconds LongestAskInterval{800};
/** Share of the last sample in the smoothed demand. */
constexpr double SampleWeight = 0.15;
/** Requests a second below which a workspace counts as unused here. */
constexpr double LeastDemand = 0.05;
/** A demand is reported again when it differs from the report by this part, and by LeastChange at least. */
constexpr double ReportedChange = 0.2;
constexpr double LeastChange = 0.3;
/** Clocks of agents may run so much too fast. */
constexpr double ClockMargin = 1.02;
/** Fractions that are whole numbers but for rounding. */
constexpr double Rounding = 1e-6;
/** Time in which a permit arrives, the interval of asking included. */
constexpr milliseconds PermitTime{150};
constexpr milliseconds LongestRetryAfter{2000};
/** Permits asked for at once for one workspace. */
constexpr unsigned MostWanted = 64;

/** Drops the shares once their lease has ended; control is told with the next report. */
void dropEndedShares(LimitShares &shares, BootTime now)
{
    if (now < shares.validUntil) {
        return;
    }
    for (auto &[name, share] : shares.workspaces) {
        shares.reportAll = shares.reportAll || share.share > 0;
        share.share = 0;
    }
}

/** @return seconds since the last sample, 1 at least */
double secondsSinceSample(const LimitShares &shares, BootTime now)
{
    return shares.sampledAt == BootTime() ? 1 : std::max(1.0, Seconds(now - shares.sampledAt).count());
}

void dropOld(LimitShare &share, const table::LimitBounds &bounds, BootTime now)
{
    const auto window = std::chrono::duration_cast<BootClock::duration>(ClockMargin * Seconds(bounds.window));
    while (!share.used.empty() && share.used.front() + window <= now) {
        share.used.pop_front();
    }
    while (!share.permits.empty() && share.permits.front() <= now) {
        share.permits.pop_front();
    }
}

/** @return how long callers that are refused now should wait */
milliseconds retryAfter(const LimitShare &share, const table::LimitBounds &bounds, BootTime now)
{
    if (share.wanted <= MostWanted || share.used.empty()) {
        return PermitTime;
    }
    const auto wait = std::chrono::duration_cast<milliseconds>(share.used.front() + bounds.window - now);
    return std::clamp(wait, PermitTime, LongestRetryAfter);
}

/** Ends a sample. */
void recordDemand(LimitShare &share, double seconds)
{
    const double sample = share.offered / seconds;
    share.demand += SampleWeight * (sample - share.demand);
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

bool isForgotten(const LimitShare &share)
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
    dropEndedShares(shares, now);
    dropOld(share, shares.bounds, now);
    const bool maySpend = now >= shares.startedAt + shares.bounds.window;
    const double maxTokens =
        maySpend ? std::floor(share.share * table::maxInWindow(workspace, shares.bounds) + Rounding) : 0;
    LimitDecision decision;
    if (static_cast<double>(share.used.size()) < maxTokens) {
        share.used.push_back(now);
        share.wantsExtraPermit = static_cast<double>(share.used.size()) >= maxTokens && share.permits.empty();
    } else if (!share.permits.empty()) {
        share.permits.pop_front();
        share.wantsExtraPermit = share.permits.empty() && share.share > 0;
        decision.verdict = LimitVerdict::Permitted;
    } else {
        ++share.wanted;
        decision.verdict = share.share <= 0 ? LimitVerdict::NoShare : LimitVerdict::OverLimit;
        decision.retryAfter = retryAfter(share, shares.bounds, now);
    }
    decision.shouldAskControl =
        (share.wanted > 0 || share.wantsExtraPermit) && now - shares.askedAt >= shares.askInterval;
    if (decision.shouldAskControl) {
        shares.askedAt = now;
        shares.askInterval = std::min(2 * shares.askInterval, LongestAskInterval);
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
    dropEndedShares(shares, now);
    renew.set_shares_applied(shares.appliedSequence);
    const bool due = now - shares.sampledAt >= ReportInterval;
    if (!due && !atOnce && !shares.reportAll) {
        return;
    }
    renew.set_all_shares(shares.reportAll);
    const double seconds = secondsSinceSample(shares, now);
    for (auto &[name, share] : shares.workspaces) {
        dropOld(share, shares.bounds, now);
        if (due) {
            recordDemand(share, seconds);
        }
        if (!shares.reportAll && share.wanted == 0 && !share.wantsExtraPermit && !(due && isWorthReporting(share))) {
            continue;
        }
        share.reported = std::max(share.demand, SampleWeight * share.offered / seconds);
        wire::WorkspaceDemand &demand = *renew.add_demands();
        demand.set_workspace(name);
        demand.set_per_second(static_cast<float>(share.reported));
        demand.set_share(share.share);
        demand.set_permits_wanted(std::min(share.wanted, MostWanted));
        demand.set_permit_ahead(share.wantsExtraPermit);
        share.wanted = 0;
        share.wantsExtraPermit = false;
    }
    std::erase_if(shares.workspaces, [](const auto &entry) {
        return isForgotten(entry.second);
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
    dropEndedShares(shares, now);
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
            shares.askInterval = ShortestAskInterval;
        }
    }
}

} // namespace bergamotweir::agent
