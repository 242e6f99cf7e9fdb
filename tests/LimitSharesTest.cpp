#include "agent/LimitShares.h"
#include "table/RouteTable.h"

#include <catch2/catch.hpp>
#include <control.pb.h>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

constexpr BootTime Start{100s};

wire::RouteTable tableOf(double rate, double burst)
{
    wire::RouteTable routes;
    routes.set_revision(1);
    wire::Workspace &workspace = *routes.add_workspaces();
    workspace.set_name("w");
    workspace.set_rate_per_second(rate);
    workspace.set_burst(burst);
    return routes;
}

/** Shares with half of the limit of tableOf(20, 10), granted at Start with a lease of 10 s. */
agent::LimitShares halfGranted(double tokens)
{
    agent::LimitShares shares;
    wire::Renewed renewed;
    renewed.set_sequence(1);
    renewed.set_share_lease_ms(10000);
    wire::WorkspaceShare &share = *renewed.add_shares();
    share.set_workspace("w");
    share.set_share(0.5);
    share.set_tokens(tokens);
    agent::applyShares(shares, table::RouteTable(tableOf(20, 10)), renewed, Start, Start);
    return shares;
}

unsigned admittedAt(agent::LimitShares &shares, const wire::RouteTable &routes, BootTime now)
{
    const table::RouteTable table(routes);
    unsigned admitted = 0;
    for (unsigned request = 0; request < 100; ++request) {
        const auto decision = agent::takeToken(shares, *table.workspace("w"), now);
        admitted += decision.verdict == agent::LimitVerdict::Admitted ? 1 : 0;
    }
    return admitted;
}

} // namespace

TEST_CASE("limit: an agent lets through its share of rate and burst, and saves no more than its share of the burst")
{
    agent::LimitShares shares = halfGranted(3);
    const wire::RouteTable routes = tableOf(20, 10);
    REQUIRE(admittedAt(shares, routes, Start) == 3);
    REQUIRE(admittedAt(shares, routes, Start + 310ms) == 3);
    REQUIRE(admittedAt(shares, routes, Start + 5s) == 5);
}

TEST_CASE("limit: a workspace without a limit is let through without any share")
{
    agent::LimitShares shares;
    REQUIRE(admittedAt(shares, tableOf(0, 0), Start) == 100);
}

TEST_CASE("limit: a refusal tells when the next token comes, and one without a share asks for it once in a while")
{
    const table::RouteTable routes(tableOf(20, 10));
    agent::LimitShares shares = halfGranted(0);
    const auto over = agent::takeToken(shares, *routes.workspace("w"), Start);
    REQUIRE(over.verdict == agent::LimitVerdict::OverLimit);
    REQUIRE(over.retryAfter == 100ms);
    agent::LimitShares none;
    const auto first = agent::takeToken(none, *routes.workspace("w"), Start);
    REQUIRE(first.verdict == agent::LimitVerdict::NoShare);
    REQUIRE(first.ask);
    REQUIRE_FALSE(agent::takeToken(none, *routes.workspace("w"), Start + 1ms).ask);
    REQUIRE(agent::takeToken(none, *routes.workspace("w"), Start + 1s).ask);
}

TEST_CASE("limit: a lower limit cuts what was saved, at once")
{
    agent::LimitShares shares = halfGranted(5);
    REQUIRE(admittedAt(shares, tableOf(2, 4), Start) == 2);
}

// Guards against an agent that was frozen or cut off and goes on with a share that control has given to others.
TEST_CASE("limit: a share ends with its lease, and control is told so")
{
    agent::LimitShares shares = halfGranted(5);
    REQUIRE(admittedAt(shares, tableOf(20, 10), Start + 10s) == 0);
    wire::Renew renew;
    agent::reportDemand(shares, renew, false, Start + 10s);
    REQUIRE(renew.all_shares());
    REQUIRE(renew.demands(0).share() == 0);
}

TEST_CASE("limit: the token of a request that did not run is returned")
{
    agent::LimitShares shares = halfGranted(1);
    const table::RouteTable routes(tableOf(20, 10));
    REQUIRE(agent::takeToken(shares, *routes.workspace("w"), Start).verdict == agent::LimitVerdict::Admitted);
    agent::giveBackToken(shares, *routes.workspace("w"));
    REQUIRE(admittedAt(shares, tableOf(20, 10), Start) == 1);
}

TEST_CASE("limit: demand is reported when it changes, and all shares on a new session")
{
    agent::LimitShares shares = halfGranted(5);
    admittedAt(shares, tableOf(20, 10), Start);
    wire::Renew first;
    agent::reportDemand(shares, first, false, Start + 1s);
    REQUIRE(first.all_shares());
    REQUIRE(first.demands(0).share() == 0.5);
    REQUIRE(first.shares_applied() == 1);
    admittedAt(shares, tableOf(20, 10), Start + 2s);
    wire::Renew same;
    agent::reportDemand(shares, same, false, Start + 2s);
    REQUIRE(same.demands().empty());
    REQUIRE_FALSE(same.all_shares());
    agent::beginLimitSession(shares);
    wire::Renew again;
    agent::reportDemand(shares, again, false, Start + 2100ms);
    REQUIRE(again.all_shares());
    REQUIRE(again.demands_size() == 1);
    REQUIRE(again.shares_applied() == 0);
}
