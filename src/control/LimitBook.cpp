#include "control/LimitBook.h"

#include "table/RouteTable.h"

#include <control.pb.h>

#include <algorithm>
#include <cmath>

namespace bergamotweir::control {

namespace {

using Seconds = std::chrono::duration<double>;

/** Part of a limit that is shared out by demand; the rest is for agents whose demand is new. */
constexpr double GrantedPart = 0.95;
/** An agent gets no more than the rate of so many times its weight, while others may yet come. */
constexpr double Headroom = 2.5;
/** Tokens of the smallest useful share. */
constexpr double LeastTokens = 1.2;
/** Shares change when they would grow or shrink by more than this. */
constexpr double WorthGrowing = 1.03;
constexpr double WorthShrinking = 0.9;

/** Small demands vary more in proportion: they get more than their part. */
double weightOf(double demand)
{
    return demand <= 0 ? 0 : demand + std::sqrt(demand);
}

double outstanding(const HeldLimit &limit)
{
    return std::max(limit.held, limit.sent);
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

LimitReserve &reserveOf(LimitBook &book, const std::string &workspace)
{
    const auto [found, added] = book.reserves.try_emplace(workspace);
    if (added) {
        found->second.refilledAt = book.completeSince;
    }
    return found->second;
}

void dropAll(LimitBook &book, AgentLimits &agent)
{
    for (const auto &[name, limit] : agent.workspaces) {
        leave(reserveOf(book, name), limit);
    }
    agent.workspaces.clear();
}

void refill(LimitBook &book, LimitReserve &reserve, const table::Workspace &workspace, BootTime now)
{
    const double part = std::max(0.0, 1 - reserve.outstanding);
    const double elapsed = std::max(0.0, Seconds(now - reserve.refilledAt).count());
    reserve.refilledAt = now;
    if (!book.complete) {
        return;
    }
    reserve.tokens = std::min(reserve.tokens + part * workspace.ratePerSecond * elapsed,
                              part * table::mostTokens(workspace, book.settings.bounds));
}

/** @return the share that suits the agent's demand beside that of all others */
double wantedShare(const LimitBook &book,
                   const LimitReserve &reserve,
                   const table::Workspace *workspace,
                   const HeldLimit &limit)
{
    const double weight = weightOf(limit.demand);
    if (workspace == nullptr || !table::isLimited(*workspace) || weight <= 0) {
        return 0;
    }
    const double least = std::min(LeastTokens / table::mostTokens(*workspace, book.settings.bounds),
                                  GrantedPart / static_cast<double>(std::max<std::size_t>(reserve.agents, 1)));
    const double useful = Headroom * weight / workspace->ratePerSecond;
    return std::max(least, std::min(GrantedPart * weight / reserve.weight, useful));
}

} // namespace

void beginLeading(LimitBook &book, BootTime now)
{
    book.agents.clear();
    book.reserves.clear();
    book.complete = false;
    book.leadsSince = now;
}

void noteComplete(LimitBook &book, bool allReported, BootTime now)
{
    if (book.complete || (!allReported && now < book.leadsSince + book.settings.lease + book.settings.drift)) {
        return;
    }
    book.complete = true;
    book.completeSince = now;
    for (auto &[name, reserve] : book.reserves) {
        reserve.refilledAt = now;
    }
}

void noteDemand(LimitBook &book, const std::string &life, const wire::Renew &renew, BootTime now)
{
    if (renew.all_shares()) {
        AgentLimits &agent = book.agents[life];
        dropAll(book, agent);
        agent.end = std::max(agent.end, now + book.settings.lease + book.settings.drift);
    }
    const auto found = book.agents.find(life);
    if (found == book.agents.end()) {
        return;
    }
    AgentLimits &agent = found->second;
    for (const wire::WorkspaceDemand &demand : renew.demands()) {
        const auto [entry, added] = agent.workspaces.try_emplace(demand.workspace());
        HeldLimit &limit = entry->second;
        LimitReserve &reserve = reserveOf(book, demand.workspace());
        if (!added) {
            leave(reserve, limit);
        }
        limit.demand = std::max(0.0F, demand.per_second());
        if (renew.all_shares()) {
            limit.held = std::clamp(demand.share(), 0.0, 1.0);
            limit.sent = limit.held;
        }
        enter(reserve, limit);
    }
    for (auto &[name, limit] : agent.workspaces) {
        if (limit.held != limit.sent && limit.sentSequence <= renew.shares_applied()) {
            LimitReserve &reserve = reserveOf(book, name);
            leave(reserve, limit);
            limit.held = limit.sent;
            enter(reserve, limit);
        }
    }
}

void endLife(LimitBook &book, const std::string &life)
{
    const auto found = book.agents.find(life);
    if (found != book.agents.end()) {
        dropAll(book, found->second);
        book.agents.erase(found);
    }
}

void expireLimits(LimitBook &book, BootTime now)
{
    for (auto &[life, agent] : book.agents) {
        if (now >= agent.end) {
            dropAll(book, agent);
        }
    }
}

bool isKnown(const LimitBook &book, const std::string &life)
{
    return book.agents.contains(life);
}

void grantShares(LimitBook &book,
                 const std::string &life,
                 const table::RouteTable &routes,
                 BootTime arrival,
                 BootTime now,
                 wire::Renewed &renewed)
{
    const auto found = book.agents.find(life);
    if (found == book.agents.end()) {
        return;
    }
    AgentLimits &agent = found->second;
    agent.end = std::max(agent.end, arrival + book.settings.lease + book.settings.drift);
    renewed.set_share_lease_ms(static_cast<std::uint32_t>(book.settings.lease.count()));
    for (auto entry = agent.workspaces.begin(); entry != agent.workspaces.end();) {
        HeldLimit &limit = entry->second;
        LimitReserve &reserve = reserveOf(book, entry->first);
        const table::Workspace *workspace = routes.workspace(entry->first);
        if (workspace != nullptr) {
            refill(book, reserve, *workspace, now);
        }
        const double wanted = wantedShare(book, reserve, workspace, limit);
        const double before = outstanding(limit);
        const double most = book.complete ? before + std::max(0.0, 1 - reserve.outstanding) : before;
        const double share = std::min(wanted, most);
        const bool changes = share > WorthGrowing * limit.sent || share < WorthShrinking * limit.sent;
        if (!changes) {
            const bool unused = limit.demand <= 0 && before <= 0;
            if (unused) {
                leave(reserve, limit);
            }
            entry = unused ? agent.workspaces.erase(entry) : std::next(entry);
            continue;
        }
        leave(reserve, limit);
        limit.sent = share;
        limit.sentSequence = renewed.sequence();
        enter(reserve, limit);
        wire::WorkspaceShare &granted = *renewed.add_shares();
        granted.set_workspace(entry->first);
        granted.set_share(share);
        if (share > before && workspace != nullptr) {
            const double fits = (share - before) * table::mostTokens(*workspace, book.settings.bounds);
            granted.set_tokens(std::min(reserve.tokens, fits));
            reserve.tokens -= granted.tokens();
        }
        ++entry;
    }
}

} // namespace bergamotweir::control
