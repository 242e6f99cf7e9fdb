#include "control/LimitAllocator.h"
#include "table/RouteTable.h"

#include <catch2/catch.hpp>
#include <control.pb.h>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

constexpr BootTime Start{100s};
constexpr const char *Name = "w";

/** 100 requests in a window of 5 s. */
table::RouteTable tableWithLimitOfHundred()
{
    wire::RouteTable routes;
    wire::Workspace &workspace = *routes.add_workspaces();
    workspace.set_name(Name);
    workspace.set_rate_per_second(16);
    workspace.set_burst(20);
    return table::RouteTable(routes);
}

/** @return the allocator of a leader that has led long enough to know all shares */
control::LimitAllocator allocatorAt(BootTime now)
{
    control::LimitAllocator allocator;
    control::beginLeading(allocator, now - 1min);
    control::updateAllSharesKnown(allocator, true, now);
    return allocator;
}

void report(control::LimitAllocator &allocator,
            const std::string &incarnationId,
            double demand,
            unsigned permits = 0,
            bool allShares = true)
{
    wire::Renew renew;
    renew.set_all_shares(allShares);
    wire::WorkspaceDemand &reported = *renew.add_demands();
    reported.set_workspace(Name);
    reported.set_per_second(static_cast<float>(demand));
    reported.set_permits_wanted(permits);
    control::recordDemand(allocator, incarnationId, renew, Start);
}

wire::Renewed grantSharesTo(control::LimitAllocator &allocator,
                            const std::string &incarnationId,
                            BootTime now,
                            std::uint64_t sequence = 1)
{
    wire::Renewed renewed;
    renewed.set_sequence(sequence);
    control::grantShares(allocator, incarnationId, tableWithLimitOfHundred(), now, now, renewed);
    return renewed;
}

} // namespace

TEST_CASE("limit allocator: shares are proportional to demand, and every agent gets at least one request")
{
    control::LimitAllocator allocator = allocatorAt(Start);
    report(allocator, "a", 9);
    report(allocator, "b", 1);
    report(allocator, "c", 0);
    const double shareOfA = grantSharesTo(allocator, "a", Start).shares(0).share();
    const double shareOfB = grantSharesTo(allocator, "b", Start).shares(0).share();
    const double shareOfC = grantSharesTo(allocator, "c", Start).shares(0).share();
    REQUIRE(shareOfA > 3 * shareOfB);
    REQUIRE(shareOfB > shareOfC);
    REQUIRE(shareOfC >= 0.01);
    REQUIRE(shareOfA + shareOfB + shareOfC <= 0.75);
}

TEST_CASE("limit allocator: an agent that has not reported its shares gets none")
{
    control::LimitAllocator allocator = allocatorAt(Start);
    REQUIRE(grantSharesTo(allocator, "a", Start).share_lease_ms() == 0);
}

TEST_CASE("limit allocator: permits are granted up to their part of the window")
{
    control::LimitAllocator allocator = allocatorAt(Start);
    report(allocator, "a", 9, 20);
    REQUIRE(grantSharesTo(allocator, "a", Start).shares(0).permits() == 20);
    report(allocator, "a", 9, 20, false);
    REQUIRE(grantSharesTo(allocator, "a", Start + 1s).shares(0).permits() == 5);
    report(allocator, "a", 9, 20, false);
    REQUIRE(grantSharesTo(allocator, "a", Start + 8s).shares(0).permits() == 20);
}

// Guards against two agents using the same share: a grant may arrive late, after a smaller one was sent.
TEST_CASE("limit allocator: a grant still in flight counts in addition to the one after it")
{
    control::LimitAllocator allocator = allocatorAt(Start);
    report(allocator, "a", 9);
    const double first = grantSharesTo(allocator, "a", Start, 1).shares(0).share();
    report(allocator, "b", 9);
    const double second = grantSharesTo(allocator, "a", Start, 2).shares(0).share();
    REQUIRE(second < first);
    REQUIRE(first + grantSharesTo(allocator, "b", Start, 1).shares(0).share() <= 0.76);
}

TEST_CASE("limit allocator: the share of a process that ended is reserved for the next one of that agent")
{
    control::LimitAllocator allocator = allocatorAt(Start);
    report(allocator, "a 1", 9);
    const double before = grantSharesTo(allocator, "a 1", Start).shares(0).share();
    control::transferShares(allocator, "a 1", "a 2", Start);
    report(allocator, "b", 9);
    grantSharesTo(allocator, "b", Start);
    report(allocator, "a 2", 9);
    REQUIRE(grantSharesTo(allocator, "a 2", Start).shares(0).share() >= before / 2);
    REQUIRE(allocator.allocations[Name].outstanding <= 0.76);
}
