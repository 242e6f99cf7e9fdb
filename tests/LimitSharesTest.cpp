#include "agent/LimitShares.h"
#include "table/RouteTable.h"

#include <catch2/catch.hpp>
#include <control.pb.h>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

constexpr BootTime Start{100s};

/** A table with one workspace. */
table::RouteTable tableOf(double rate, double burst)
{
    wire::RouteTable routes;
    routes.set_revision(1);
    wire::Workspace &workspace = *routes.add_workspaces();
    workspace.set_name("w");
    workspace.set_rate_per_second(rate);
    workspace.set_burst(burst);
    return table::RouteTable(routes);
}

/** 100 requests in 5 s. */
const table::RouteTable Hundred = tableOf(15, 25);

/** Half of the limit, granted at Start with a lease of 10 s, and permits for 2 s. */
agent::LimitShares halfGranted(unsigned permits = 0)
{
    agent::LimitShares shares;
    wire::Renewed renewed;
    renewed.set_sequence(1);
    renewed.set_share_lease_ms(10000);
    renewed.set_permit_ms(2000);
    wire::WorkspaceShare &share = *renewed.add_shares();
    share.set_workspace("w");
    share.set_share(0.5);
    share.set_permits(permits);
    agent::applyShares(shares, renewed, Start, Start);
    return shares;
}

unsigned admittedAt(agent::LimitShares &shares, const table::RouteTable &table, BootTime now)
{
    unsigned admitted = 0;
    for (unsigned request = 0; request < 200; ++request) {
        admitted += agent::isAdmitted(agent::admit(shares, *table.workspace("w"), now)) ? 1 : 0;
    }
    return admitted;
}

} // namespace

TEST_CASE("limit: an agent admits its share in each window, and permits in addition until they expire")
{
    agent::LimitShares shares = halfGranted(2);
    REQUIRE(admittedAt(shares, Hundred, Start) == 52);
    REQUIRE(admittedAt(shares, Hundred, Start + 4900ms) == 0);
    REQUIRE(admittedAt(shares, Hundred, Start + 5200ms) == 50);
    agent::LimitShares late = halfGranted(2);
    REQUIRE(admittedAt(late, Hundred, Start + 2s) == 50);
}

TEST_CASE("limit: requests of a workspace without a limit are admitted without a share")
{
    agent::LimitShares shares;
    REQUIRE(admittedAt(shares, tableOf(0, 0), Start) == 200);
}

TEST_CASE("limit: a lower limit applies to the share immediately")
{
    agent::LimitShares shares = halfGranted();
    REQUIRE(admittedAt(shares, tableOf(1, 5), Start) == 5);
}

TEST_CASE("limit: control is asked for a permit for each refused request, at bounded intervals")
{
    agent::LimitShares shares;
    const table::Workspace &workspace = *Hundred.workspace("w");
    const agent::LimitDecision first = agent::admit(shares, workspace, Start);
    REQUIRE(first.verdict == agent::LimitVerdict::NoShare);
    REQUIRE(first.shouldAskControl);
    REQUIRE(first.retryAfter > 0ms);
    REQUIRE_FALSE(agent::admit(shares, workspace, Start + 1ms).shouldAskControl);
    wire::Renew renew;
    agent::reportDemand(shares, renew, true, Start + 2ms);
    REQUIRE(renew.demands(0).permits_wanted() == 2);
    REQUIRE(agent::admit(shares, workspace, Start + 1s).shouldAskControl);
}

// Guards against an agent that was frozen or partitioned and still uses a share that control has granted to others.
TEST_CASE("limit: a share expires with its lease, and this is reported to control")
{
    agent::LimitShares shares = halfGranted();
    REQUIRE(admittedAt(shares, Hundred, Start + 10s) == 0);
    wire::Renew renew;
    agent::reportDemand(shares, renew, false, Start + 10s);
    REQUIRE(renew.all_shares());
    REQUIRE(renew.demands(0).share() == 0);
}

// Guards against an agent that admits its share once more with each restart of its process.
TEST_CASE("limit: a process that has just started uses only permits")
{
    agent::LimitShares shares = halfGranted(1);
    shares.startedAt = Start - 1s;
    REQUIRE(admittedAt(shares, Hundred, Start) == 1);
    REQUIRE(admittedAt(shares, Hundred, Start + 4s) == 50);
}

TEST_CASE("limit: a request that did not run is not counted")
{
    agent::LimitShares shares = halfGranted();
    REQUIRE(admittedAt(shares, Hundred, Start) == 50);
    agent::returnAdmission(shares, "w");
    REQUIRE(admittedAt(shares, Hundred, Start) == 1);
}

TEST_CASE("limit: demand is reported when it changes, and all shares on a new session")
{
    agent::LimitShares shares = halfGranted();
    admittedAt(shares, Hundred, Start);
    wire::Renew first;
    agent::reportDemand(shares, first, false, Start + 1s);
    REQUIRE(first.all_shares());
    REQUIRE(first.demands(0).share() == 0.5);
    REQUIRE(first.shares_applied() == 1);
    admittedAt(shares, Hundred, Start + 6s);
    wire::Renew same;
    agent::reportDemand(shares, same, false, Start + 6100ms);
    REQUIRE_FALSE(same.all_shares());
    agent::beginLimitSession(shares);
    wire::Renew again;
    agent::reportDemand(shares, again, false, Start + 6200ms);
    REQUIRE(again.all_shares());
    REQUIRE(again.demands_size() == 1);
    REQUIRE(again.shares_applied() == 0);
}
