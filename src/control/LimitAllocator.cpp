#include "control/LimitAllocator.h"

#include "table/RouteTable.h"

#include <control.pb.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace bergamotweir::control {

namespace {

/** Fraction of a limit that all shares together may take; the rest is reserved for permits. */
constexpr double SharedFraction = 0.75;
/** Upper bound of that fraction, for a limit that allows only about one request per agent in a window. */
constexpr double MaxSharedFraction = 0.9;
/** Fraction of the shared part that is granted; the rest is kept free for agents that join. */
constexpr double GrantedFraction = 0.97;
/** Fraction of the permits that must be free for an extra permit to be granted before a request needs it. */
constexpr double ExtraPermitMinFreeFraction = 0.5;
/** Maximum number of workspaces for which every agent gets a share of one request. */
constexpr std::size_t MaxUniformWorkspaces = 1024;
/**
 * A share is changed when it would grow or shrink beyond these factors. A returned share is unusable for a window, so a
 * share that is too large for its agent stays there unless much of it is idle.
 */
constexpr double GrowthThreshold = 1.2;
constexpr double ShrinkThreshold = 0.6;
/** Upper bound of an agent's share as a multiple of the demand in a window, since other agents may join later. */
constexpr double DemandHeadroom = 2;
/** Tolerance of rounding errors, in requests, where a number of requests should be whole. */
constexpr double RoundingTolerance = 1e-6;

/** Small demands vary more relative to their size, so they get more than their proportional part. */
double weightOf(double demand)
{
    return demand <= 0 ? 0 : demand + std::sqrt(demand);
}

double outstanding(const ShareRecord &record)
{
    return std::max({record.confirmedShare, record.grantedShare, record.inheritedShare});
}

void subtractFromTotals(LimitAllocation &allocation, const ShareRecord &record)
{
    allocation.outstanding = std::max(0.0, allocation.outstanding - outstanding(record));
    allocation.totalWeight = std::max(0.0, allocation.totalWeight - weightOf(record.demand));
    --allocation.agentCount;
}

void addToTotals(LimitAllocation &allocation, const ShareRecord &record)
{
    allocation.outstanding += outstanding(record);
    allocation.totalWeight += weightOf(record.demand);
    ++allocation.agentCount;
}

/** Withholds a returned share from other agents until the window in which it may have been used has passed. */
void startCoolDown(const LimitAllocator &allocator, LimitAllocation &allocation, double share, BootTime now)
{
    if (share > 0) {
        allocation.outstanding += share;
        allocation.returned.push_back({now + allocator.settings.bounds.window + allocator.settings.drift, share});
    }
}

void dropExpired(LimitAllocation &allocation, BootTime now)
{
    while (!allocation.returned.empty() && allocation.returned.front().availableAt <= now) {
        allocation.outstanding = std::max(0.0, allocation.outstanding - allocation.returned.front().share);
        allocation.returned.pop_front();
    }
    while (!allocation.grantedPermits.empty() && allocation.grantedPermits.front().countsUntil <= now) {
        allocation.outstandingPermits -= allocation.grantedPermits.front().permits;
        allocation.grantedPermits.pop_front();
    }
}

void reclaimAll(LimitAllocator &allocator, AgentShares &agent, BootTime now)
{
    for (const auto &[workspaceName, record] : agent.workspaces) {
        LimitAllocation &allocation = allocator.allocations[workspaceName];
        subtractFromTotals(allocation, record);
        startCoolDown(allocator, allocation, outstanding(record), now);
    }
    agent.workspaces.clear();
}

void dropInherited(LimitAllocator &allocator, AgentShares &agent)
{
    agent.inheritedUntil = {};
    for (auto &[workspaceName, record] : agent.workspaces) {
        LimitAllocation &allocation = allocator.allocations[workspaceName];
        subtractFromTotals(allocation, record);
        record.inheritedShare = 0;
        addToTotals(allocation, record);
    }
}

/** Keeps counting the share that an agent held of a workspace before it reported all its shares again. */
void carryOver(LimitAllocator &allocator,
               AgentShares &agent,
               const std::string &workspaceName,
               const ShareRecord &previous,
               BootTime now)
{
    const auto [entry, added] = agent.workspaces.try_emplace(workspaceName);
    ShareRecord &record = entry->second;
    LimitAllocation &allocation = allocator.allocations[workspaceName];
    if (!added) {
        subtractFromTotals(allocation, record);
    }
    record.inheritedShare = previous.inheritedShare;
    record.demand = std::max(record.demand, added ? previous.demand : 0.0);
    addToTotals(allocation, record);
    startCoolDown(allocator, allocation, outstanding(previous) - outstanding(record), now);
}

/** Rounds a number of requests: up for a proportion of the agents, chosen by hash, equal to its fractional part. */
double wholeRequests(double requests, const std::string &incarnationId, const std::string &workspace)
{
    const std::uint64_t hash =
        XXH3_64bits_withSeed(incarnationId.data(), incarnationId.size(), std::hash<std::string>()(workspace));
    const double hashFraction = static_cast<double>(hash >> 11U) / static_cast<double>(1ULL << 53U);
    return std::floor(requests + hashFraction);
}

/** @return how long a permit counts against the limit: while it may be used, and for one window afterwards */
BootClock::duration permitCountingTime(const LimitAllocatorSettings &settings)
{
    return settings.permitDuration + settings.bounds.window + settings.drift;
}

/** @return whether permits granted by the previous leader may still count against the limit */
bool mayHaveEarlierPermits(const LimitAllocator &allocator, BootTime now)
{
    return now < allocator.leaderSince + permitCountingTime(allocator.settings);
}

/** @return fraction of a limit that all shares together may take now */
double sharedFraction(const LimitAllocator &allocator, double maxRequests, BootTime now)
{
    const double oneRequestEach = static_cast<double>(allocator.agents.size()) / (GrantedFraction * maxRequests);
    return oneRequestEach > MaxSharedFraction || mayHaveEarlierPermits(allocator, now)
               ? SharedFraction
               : std::max(SharedFraction, oneRequestEach);
}

/** @return requests in a window that match the agent's demand in proportion to the demand of all agents */
double targetRequests(const LimitAllocator &allocator,
                      const LimitAllocation &allocation,
                      const ShareRecord &record,
                      double sharedRequests)
{
    const double grantableRequests = GrantedFraction * sharedRequests;
    // Every agent gets one request, so that the first request of a workspace at any agent is admitted.
    const double agentCount = static_cast<double>(allocator.agents.size());
    const bool oneForEach =
        agentCount <= grantableRequests + RoundingTolerance && allocator.allocations.size() <= MaxUniformWorkspaces;
    const double requestsByDemand = oneForEach ? std::max(0.0, grantableRequests - agentCount) : grantableRequests;
    const double weight = weightOf(record.demand);
    const double windowSeconds = std::chrono::duration<double>(allocator.settings.bounds.window).count();
    const double maxUseful = 1 + DemandHeadroom * record.demand * windowSeconds;
    return (oneForEach ? 1 : 0)
           + (weight > 0 ? std::min(maxUseful, requestsByDemand * weight / allocation.totalWeight) : 0);
}

unsigned grantPermits(LimitAllocator &allocator,
                      LimitAllocation &allocation,
                      const table::Workspace &workspace,
                      ShareRecord &record,
                      BootTime now)
{
    const unsigned permitsWanted = std::exchange(record.permitsWanted, 0);
    if (mayHaveEarlierPermits(allocator, now)) {
        return 0;
    }
    const double windowLimit = table::maxInWindow(workspace, allocator.settings.bounds);
    const double maxPermits = (1 - std::max(SharedFraction, allocation.outstanding)) * windowLimit;
    const double freePermits = std::max(0.0, maxPermits - allocation.outstandingPermits);
    const bool grantsExtra = std::exchange(record.wantsExtraPermit, false)
                             && freePermits - permitsWanted > ExtraPermitMinFreeFraction * maxPermits;
    const unsigned permits = std::min(permitsWanted + (grantsExtra ? 1 : 0), static_cast<unsigned>(freePermits));
    if (permits > 0) {
        allocation.grantedPermits.push_back({now + permitCountingTime(allocator.settings), permits});
        allocation.outstandingPermits += permits;
    }
    return permits;
}

/** Grants an agent's share and permits of one workspace. */
void grantWorkspace(LimitAllocator &allocator,
                    const std::string &incarnationId,
                    const std::string &workspaceName,
                    const table::Workspace *workspace,
                    ShareRecord &record,
                    BootTime now,
                    wire::Renewed &renewed)
{
    LimitAllocation &allocation = allocator.allocations[workspaceName];
    dropExpired(allocation, now);
    const bool hasLimit = workspace != nullptr && table::isLimited(*workspace);
    const double windowLimit = hasLimit ? table::maxInWindow(*workspace, allocator.settings.bounds) : 1;
    const double maxShared = sharedFraction(allocator, windowLimit, now);
    const double requests =
        hasLimit ? wholeRequests(
            targetRequests(allocator, allocation, record, maxShared * windowLimit), incarnationId, workspaceName)
                 : 0;
    const double previousShare = outstanding(record);
    const double unallocated =
        std::min(maxShared, 1 - allocation.outstandingPermits / windowLimit) - allocation.outstanding;
    const double availableShare = allocator.allSharesKnown ? std::max(0.0, unallocated) : 0;
    const double share =
        std::floor(std::min(requests / windowLimit, previousShare + availableShare) * windowLimit + RoundingTolerance)
        / windowLimit;
    const bool shouldChange =
        share > GrowthThreshold * record.grantedShare || share < ShrinkThreshold * record.grantedShare;
    if (shouldChange) {
        subtractFromTotals(allocation, record);
        // The previous grant may still be in flight.
        record.confirmedShare = std::max(record.confirmedShare, record.grantedShare);
        record.grantedShare = share;
        record.grantSequence = renewed.sequence();
        addToTotals(allocation, record);
    }
    const unsigned permits = hasLimit ? grantPermits(allocator, allocation, *workspace, record, now) : 0;
    if (!shouldChange && permits == 0) {
        return;
    }
    wire::WorkspaceShare &granted = *renewed.add_shares();
    granted.set_workspace(workspaceName);
    granted.set_permits(permits);
    if (shouldChange) {
        granted.set_share(share);
    }
}

/** Adds a record for every workspace with a limit, of which each agent gets a share of one request. */
void addUniformShares(LimitAllocator &allocator, AgentShares &agent, const table::RouteTable &routes)
{
    if (routes.workspaces().size() > MaxUniformWorkspaces || agent.workspaces.size() >= routes.workspaces().size()) {
        return;
    }
    for (const auto &[workspaceName, workspace] : routes.workspaces()) {
        if (table::isLimited(workspace) && agent.workspaces.try_emplace(workspaceName).second) {
            ++allocator.allocations[workspaceName].agentCount;
        }
    }
}

} // namespace

void beginLeading(LimitAllocator &allocator, BootTime now)
{
    allocator.agents.clear();
    allocator.allocations.clear();
    allocator.allSharesKnown = false;
    allocator.leaderSince = now;
}

void updateAllSharesKnown(LimitAllocator &allocator, bool allReported, BootTime now)
{
    // Shares that were returned to the previous leader may have been used within the current window.
    const bool windowPassed =
        now >= allocator.leaderSince + allocator.settings.bounds.window + allocator.settings.drift;
    const bool leasesExpired = now >= allocator.leaderSince + allocator.settings.lease
                                          + allocator.settings.bounds.window + allocator.settings.drift;
    allocator.allSharesKnown = allocator.allSharesKnown || (allReported && windowPassed) || leasesExpired;
}

void recordDemand(LimitAllocator &allocator, const std::string &incarnationId, const wire::Renew &renew, BootTime now)
{
    std::map<std::string, ShareRecord, std::less<>> previousRecords;
    if (renew.all_shares()) {
        AgentShares &agent = allocator.agents[incarnationId];
        previousRecords.swap(agent.workspaces);
        for (const auto &[workspaceName, record] : previousRecords) {
            subtractFromTotals(allocator.allocations[workspaceName], record);
        }
        agent.validUntil = std::max(agent.validUntil, now + allocator.settings.lease + allocator.settings.drift);
    }
    const auto found = allocator.agents.find(incarnationId);
    if (found == allocator.agents.end()) {
        return;
    }
    AgentShares &agent = found->second;
    for (const wire::WorkspaceDemand &demand : renew.demands()) {
        const auto [entry, added] = agent.workspaces.try_emplace(demand.workspace());
        ShareRecord &record = entry->second;
        LimitAllocation &allocation = allocator.allocations[demand.workspace()];
        if (!added) {
            subtractFromTotals(allocation, record);
        }
        record.demand = std::max(0.0F, demand.per_second());
        record.permitsWanted = demand.permits_wanted();
        record.wantsExtraPermit = demand.permit_ahead();
        if (renew.all_shares()) {
            record.confirmedShare = std::clamp(demand.share(), 0.0, 1.0);
            record.grantedShare = record.confirmedShare;
        }
        addToTotals(allocation, record);
    }
    for (const auto &[workspaceName, record] : previousRecords) {
        carryOver(allocator, agent, workspaceName, record, now);
    }
    for (auto &[workspaceName, record] : agent.workspaces) {
        if (record.confirmedShare != record.grantedShare && record.grantSequence <= renew.shares_applied()) {
            LimitAllocation &allocation = allocator.allocations[workspaceName];
            subtractFromTotals(allocation, record);
            startCoolDown(allocator, allocation, record.confirmedShare - record.grantedShare, now);
            record.confirmedShare = record.grantedShare;
            addToTotals(allocation, record);
        }
    }
}

void transferShares(LimitAllocator &allocator, const std::string &ended, const std::string &successor, BootTime now)
{
    const auto found = allocator.agents.find(ended);
    if (found == allocator.agents.end()) {
        return;
    }
    AgentShares agent = std::move(found->second);
    allocator.agents.erase(found);
    agent.inheritedUntil = now + allocator.settings.bounds.window + allocator.settings.drift;
    for (auto &[workspaceName, record] : agent.workspaces) {
        LimitAllocation &allocation = allocator.allocations[workspaceName];
        subtractFromTotals(allocation, record);
        record.inheritedShare = outstanding(record);
        record.confirmedShare = 0;
        record.grantedShare = 0;
        addToTotals(allocation, record);
    }
    allocator.agents[successor] = std::move(agent);
}

void expireLimits(LimitAllocator &allocator, BootTime now)
{
    for (auto &[incarnationId, agent] : allocator.agents) {
        if (now >= agent.validUntil) {
            reclaimAll(allocator, agent, now);
        } else if (agent.inheritedUntil != BootTime() && now >= agent.inheritedUntil) {
            dropInherited(allocator, agent);
        }
    }
}

bool isKnown(const LimitAllocator &allocator, const std::string &incarnationId)
{
    return allocator.agents.contains(incarnationId);
}

void grantShares(LimitAllocator &allocator,
                 const std::string &incarnationId,
                 const table::RouteTable &routes,
                 BootTime arrival,
                 BootTime now,
                 wire::Renewed &renewed)
{
    const auto found = allocator.agents.find(incarnationId);
    if (found == allocator.agents.end()) {
        return;
    }
    AgentShares &agent = found->second;
    agent.validUntil = std::max(agent.validUntil, arrival + allocator.settings.lease + allocator.settings.drift);
    renewed.set_share_lease_ms(static_cast<std::uint32_t>(allocator.settings.lease.count()));
    renewed.set_permit_ms(static_cast<std::uint32_t>(allocator.settings.permitDuration.count()));
    addUniformShares(allocator, agent, routes);
    for (auto entry = agent.workspaces.begin(); entry != agent.workspaces.end();) {
        ShareRecord &record = entry->second;
        const table::Workspace *workspace = routes.workspace(entry->first);
        grantWorkspace(allocator, incarnationId, entry->first, workspace, record, now, renewed);
        const bool shouldErase = workspace == nullptr && outstanding(record) <= 0;
        if (shouldErase) {
            subtractFromTotals(allocator.allocations[entry->first], record);
        }
        entry = shouldErase ? agent.workspaces.erase(entry) : std::next(entry);
    }
}

} // namespace bergamotweir::control
