#include "control/LimitAllocator.h"

#include "table/RouteTable.h"

#include <control.pb.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace bergamotweir::control {

namespace {

/** Part of a limit that all shares together take; the rest is for permits. */
constexpr double SharedPart = 0.75;
/** The same for a limit that has just about one request in a window for each agent. */
constexpr double MostSharedPart = 0.9;
/** Part of that which is granted as long as no agent comes anew. */
constexpr double GrantedPart = 0.97;
/** Part of the permits that must be free for one to be handed out ahead of a request. */
constexpr double AheadPart = 0.5;
/** Workspaces beyond which no even parts are granted. */
constexpr std::size_t MostEvenWorkspaces = 1024;
/**
 * Shares change when they would grow or shrink by more than this. A returned share serves nobody for a window, so that
 * one which is too large for its agent stays there unless much of it is idle.
 */
constexpr double WorthGrowing = 1.2;
constexpr double WorthShrinking = 0.6;
/** An agent gets no more than so many times what its callers ask for in a window, as others may yet come. */
constexpr double Headroom = 2;
/** Fractions that are whole numbers but for rounding. */
constexpr double Rounding = 1e-6;

/** Small demands vary more in proportion: they get more than their part. */
double weightOf(double demand)
{
    return demand <= 0 ? 0 : demand + std::sqrt(demand);
}

double outstanding(const HeldLimit &limit)
{
    return std::max({limit.held, limit.sent, limit.inherited});
}

void leave(LimitReserve &reserve, const HeldLimit &limit)
{
    reserve.outstanding = std::max(0.0, reserve.outstanding - outstanding(limit));
    reserve.weight = std::max(0.0, reserve.weight - weightOf(limit.demand));
    --reserve.agents;
}

void enter(LimitReserve &reserve, const HeldLimit &limit)
{
    reserve.outstanding += outstanding(limit);
    reserve.weight += weightOf(limit.demand);
    ++reserve.agents;
}

/** Keeps a returned share from others while the window in which it may have been used runs. */
void coolDown(const LimitAllocator &allocator, LimitReserve &reserve, double share, BootTime now)
{
    if (share > 0) {
        reserve.outstanding += share;
        reserve.returned.push_back({now + allocator.settings.bounds.window + allocator.settings.drift, share});
    }
}

void dropOld(LimitReserve &reserve, BootTime now)
{
    while (!reserve.returned.empty() && reserve.returned.front().freeAt <= now) {
        reserve.outstanding = std::max(0.0, reserve.outstanding - reserve.returned.front().share);
        reserve.returned.pop_front();
    }
    while (!reserve.grantedPermits.empty() && reserve.grantedPermits.front().countsUntil <= now) {
        reserve.permits -= reserve.grantedPermits.front().permits;
        reserve.grantedPermits.pop_front();
    }
}

void takeBackAll(LimitAllocator &allocator, AgentLimits &agent, BootTime now)
{
    for (const auto &[name, limit] : agent.workspaces) {
        LimitReserve &reserve = allocator.reserves[name];
        leave(reserve, limit);
        coolDown(allocator, reserve, outstanding(limit), now);
    }
    agent.workspaces.clear();
}

void dropInherited(LimitAllocator &allocator, AgentLimits &agent)
{
    agent.inheritedUntil = {};
    for (auto &[name, limit] : agent.workspaces) {
        LimitReserve &reserve = allocator.reserves[name];
        leave(reserve, limit);
        limit.inherited = 0;
        enter(reserve, limit);
    }
}

/** Goes on counting what an agent held of a workspace when it tells its shares anew. */
void keepReported(
    LimitAllocator &allocator, AgentLimits &agent, const std::string &name, const HeldLimit &before, BootTime now)
{
    const auto [entry, added] = agent.workspaces.try_emplace(name);
    HeldLimit &limit = entry->second;
    LimitReserve &reserve = allocator.reserves[name];
    if (!added) {
        leave(reserve, limit);
    }
    limit.inherited = before.inherited;
    limit.demand = std::max(limit.demand, added ? before.demand : 0.0);
    enter(reserve, limit);
    coolDown(allocator, reserve, outstanding(before) - outstanding(limit), now);
}

/** Makes a whole number of requests, rounded up for as many agents as the fraction says. */
double wholeRequests(double requests, const std::string &incarnationId, const std::string &workspace)
{
    const std::uint64_t hash =
        XXH3_64bits_withSeed(incarnationId.data(), incarnationId.size(), std::hash<std::string>()(workspace));
    const double draw = static_cast<double>(hash >> 11U) / static_cast<double>(1ULL << 53U);
    return std::floor(requests + draw);
}

/** @return how long a permit counts against the limit: while it may be used, and for the window after */
BootClock::duration countedFor(const LimitAllocatorSettings &settings)
{
    return settings.permit + settings.bounds.window + settings.drift;
}

/** @return whether permits of the leader before still count */
bool mayOwePermits(const LimitAllocator &allocator, BootTime now)
{
    return now < allocator.leaderSince + countedFor(allocator.settings);
}

/** @return part of a limit that all shares together may take now */
double sharedPart(const LimitAllocator &allocator, double most, BootTime now)
{
    const double oneEach = static_cast<double>(allocator.agents.size()) / (GrantedPart * most);
    return oneEach > MostSharedPart || mayOwePermits(allocator, now) ? SharedPart : std::max(SharedPart, oneEach);
}

/** @return requests in a window that suit the agent's demand beside that of all others */
double
wantedRequests(const LimitAllocator &allocator, const LimitReserve &reserve, const HeldLimit &limit, double shared)
{
    const double all = GrantedPart * shared;
    // One for each agent, so that the first request of a workspace there finds it.
    const double agents = static_cast<double>(allocator.agents.size());
    const bool oneEach = agents <= all + Rounding && allocator.reserves.size() <= MostEvenWorkspaces;
    const double byDemand = oneEach ? std::max(0.0, all - agents) : all;
    const double weight = weightOf(limit.demand);
    const double seconds = std::chrono::duration<double>(allocator.settings.bounds.window).count();
    const double useful = 1 + Headroom * limit.demand * seconds;
    return (oneEach ? 1 : 0) + (weight > 0 ? std::min(useful, byDemand * weight / reserve.weight) : 0);
}

unsigned handOut(
    LimitAllocator &allocator, LimitReserve &reserve, const table::Workspace &workspace, HeldLimit &limit, BootTime now)
{
    const unsigned wanted = std::exchange(limit.wanted, 0);
    if (mayOwePermits(allocator, now)) {
        return 0;
    }
    const double whole = table::maxInWindow(workspace, allocator.settings.bounds);
    const double most = (1 - std::max(SharedPart, reserve.outstanding)) * whole;
    const double room = std::max(0.0, most - reserve.permits);
    const bool ahead = std::exchange(limit.wantsExtraPermit, false) && room - wanted > AheadPart * most;
    const unsigned permits = std::min(wanted + (ahead ? 1 : 0), static_cast<unsigned>(room));
    if (permits > 0) {
        reserve.grantedPermits.push_back({now + countedFor(allocator.settings), permits});
        reserve.permits += permits;
    }
    return permits;
}

/** Grants one workspace's share and permits. */
void grantOne(LimitAllocator &allocator,
              const std::string &incarnationId,
              const std::string &name,
              const table::Workspace *workspace,
              HeldLimit &limit,
              BootTime now,
              wire::Renewed &renewed)
{
    LimitReserve &reserve = allocator.reserves[name];
    dropOld(reserve, now);
    const bool limited = workspace != nullptr && table::isLimited(*workspace);
    const double whole = limited ? table::maxInWindow(*workspace, allocator.settings.bounds) : 1;
    const double part = sharedPart(allocator, whole, now);
    const double requests =
        limited ? wholeRequests(wantedRequests(allocator, reserve, limit, part * whole), incarnationId, name) : 0;
    const double before = outstanding(limit);
    const double free = std::min(part, 1 - reserve.permits / whole) - reserve.outstanding;
    const double room = allocator.allSharesKnown ? std::max(0.0, free) : 0;
    const double share = std::floor(std::min(requests / whole, before + room) * whole + Rounding) / whole;
    const bool changes = share > WorthGrowing * limit.sent || share < WorthShrinking * limit.sent;
    if (changes) {
        leave(reserve, limit);
        // The grant before may still be on its way.
        limit.held = std::max(limit.held, limit.sent);
        limit.sent = share;
        limit.sentSequence = renewed.sequence();
        enter(reserve, limit);
    }
    const unsigned permits = limited ? handOut(allocator, reserve, *workspace, limit, now) : 0;
    if (!changes && permits == 0) {
        return;
    }
    wire::WorkspaceShare &granted = *renewed.add_shares();
    granted.set_workspace(name);
    granted.set_permits(permits);
    if (changes) {
        granted.set_share(share);
    }
}

/** Makes an entry for every workspace of which each agent gets an even part. */
void addEvenParts(LimitAllocator &allocator, AgentLimits &agent, const table::RouteTable &routes)
{
    if (routes.workspaces().size() > MostEvenWorkspaces || agent.workspaces.size() >= routes.workspaces().size()) {
        return;
    }
    for (const auto &[name, workspace] : routes.workspaces()) {
        if (table::isLimited(workspace) && agent.workspaces.try_emplace(name).second) {
            ++allocator.reserves[name].agents;
        }
    }
}

} // namespace

void beginLeading(LimitAllocator &allocator, BootTime now)
{
    allocator.agents.clear();
    allocator.reserves.clear();
    allocator.allSharesKnown = false;
    allocator.leaderSince = now;
}

void updateAllSharesKnown(LimitAllocator &allocator, bool allReported, BootTime now)
{
    // Shares that were returned to the leader before may have been used within the window that still runs.
    const bool windowPassed =
        now >= allocator.leaderSince + allocator.settings.bounds.window + allocator.settings.drift;
    const bool leasesEnded = now >= allocator.leaderSince + allocator.settings.lease + allocator.settings.bounds.window
                                        + allocator.settings.drift;
    allocator.allSharesKnown = allocator.allSharesKnown || (allReported && windowPassed) || leasesEnded;
}

void recordDemand(LimitAllocator &allocator, const std::string &incarnationId, const wire::Renew &renew, BootTime now)
{
    std::map<std::string, HeldLimit, std::less<>> before;
    if (renew.all_shares()) {
        AgentLimits &agent = allocator.agents[incarnationId];
        before.swap(agent.workspaces);
        for (const auto &[name, limit] : before) {
            leave(allocator.reserves[name], limit);
        }
        agent.end = std::max(agent.end, now + allocator.settings.lease + allocator.settings.drift);
    }
    const auto found = allocator.agents.find(incarnationId);
    if (found == allocator.agents.end()) {
        return;
    }
    AgentLimits &agent = found->second;
    for (const wire::WorkspaceDemand &demand : renew.demands()) {
        const auto [entry, added] = agent.workspaces.try_emplace(demand.workspace());
        HeldLimit &limit = entry->second;
        LimitReserve &reserve = allocator.reserves[demand.workspace()];
        if (!added) {
            leave(reserve, limit);
        }
        limit.demand = std::max(0.0F, demand.per_second());
        limit.wanted = demand.permits_wanted();
        limit.wantsExtraPermit = demand.permit_ahead();
        if (renew.all_shares()) {
            limit.held = std::clamp(demand.share(), 0.0, 1.0);
            limit.sent = limit.held;
        }
        enter(reserve, limit);
    }
    for (const auto &[name, limit] : before) {
        keepReported(allocator, agent, name, limit, now);
    }
    for (auto &[name, limit] : agent.workspaces) {
        if (limit.held != limit.sent && limit.sentSequence <= renew.shares_applied()) {
            LimitReserve &reserve = allocator.reserves[name];
            leave(reserve, limit);
            coolDown(allocator, reserve, limit.held - limit.sent, now);
            limit.held = limit.sent;
            enter(reserve, limit);
        }
    }
}

void transferShares(LimitAllocator &allocator, const std::string &ended, const std::string &successor, BootTime now)
{
    const auto found = allocator.agents.find(ended);
    if (found == allocator.agents.end()) {
        return;
    }
    AgentLimits agent = std::move(found->second);
    allocator.agents.erase(found);
    agent.inheritedUntil = now + allocator.settings.bounds.window + allocator.settings.drift;
    for (auto &[name, limit] : agent.workspaces) {
        LimitReserve &reserve = allocator.reserves[name];
        leave(reserve, limit);
        limit.inherited = outstanding(limit);
        limit.held = 0;
        limit.sent = 0;
        enter(reserve, limit);
    }
    allocator.agents[successor] = std::move(agent);
}

void expireLimits(LimitAllocator &allocator, BootTime now)
{
    for (auto &[incarnationId, agent] : allocator.agents) {
        if (now >= agent.end) {
            takeBackAll(allocator, agent, now);
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
    AgentLimits &agent = found->second;
    agent.end = std::max(agent.end, arrival + allocator.settings.lease + allocator.settings.drift);
    renewed.set_share_lease_ms(static_cast<std::uint32_t>(allocator.settings.lease.count()));
    renewed.set_permit_ms(static_cast<std::uint32_t>(allocator.settings.permit.count()));
    addEvenParts(allocator, agent, routes);
    for (auto entry = agent.workspaces.begin(); entry != agent.workspaces.end();) {
        HeldLimit &limit = entry->second;
        const table::Workspace *workspace = routes.workspace(entry->first);
        grantOne(allocator, incarnationId, entry->first, workspace, limit, now, renewed);
        const bool ended = workspace == nullptr && outstanding(limit) <= 0;
        if (ended) {
            leave(allocator.reserves[entry->first], limit);
        }
        entry = ended ? agent.workspaces.erase(entry) : std::next(entry);
    }
}

} // namespace bergamotweir::control
