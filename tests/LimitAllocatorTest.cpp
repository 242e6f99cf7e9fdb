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
table::RouteTable tableOfHundred()
{
    wire::RouteTable routes;
    wire::Workspace &workspace = *routes.add_workspaces();
    workspace.set_name(Name);
    workspace.set_rate_per_second(16);
    workspace.set_burst(20);
    return table::RouteTable(routes);
}

/** A leader that has been leading long enough to know all shares. */
control::LimitAllocator bookAt(BootTime now)
{
    control::LimitAllocator allocator;
    control::beginLeading(allocator, now - 1min);
    control::updateAllSharesKnown(allocator, true, now);
    return allocator;
}

void tell(control::LimitAllocator &allocator,
          const std::string &incarnationId,
          double demand,
          unsigned permits = 0,
          bool first = true)
{
    wire::Renew renew;
    renew.set_all_shares(first);
    wire::WorkspaceDemand &told = *renew.add_demands();
    told.set_workspace(Name);
    told.set_per_second(static_cast<float>(demand));
    told.set_permits_wanted(permits);
    control::recordDemand(allocator, incarnationId, renew, Start);
}

wire::Renewed grantedTo(control::LimitAllocator &allocator,
                        const std::string &incarnationId,
                        BootTime now,
                        std::uint64_t sequence = 1)
{
    wire::Renewed renewed;
    renewed.set_sequence(sequence);
    control::grantShares(allocator, incarnationId, tableOfHundred(), now, now, renewed);
    return renewed;
}

} // namespace

TEST_CASE("limit book: shares follow the demand, and every agent finds one request")
{
    control::LimitAllocator allocator = bookAt(Start);
    tell(allocator, "a", 9);
    tell(allocator, "b", 1);
    tell(allocator, "c", 0);
    const double a = grantedTo(allocator, "a", Start).shares(0).share();
    const double b = grantedTo(allocator, "b", Start).shares(0).share();
    const double c = grantedTo(allocator, "c", Start).shares(0).share();
    REQUIRE(a > 3 * b);
    REQUIRE(b > c);
    REQUIRE(c >= 0.01);
    REQUIRE(a + b + c <= 0.75);
}

TEST_CASE("limit book: an agent that has not told its shares gets none")
{
    control::LimitAllocator allocator = bookAt(Start);
    REQUIRE(grantedTo(allocator, "a", Start).share_lease_ms() == 0);
}

TEST_CASE("limit book: permits are handed out up to their part of the window")
{
    control::LimitAllocator allocator = bookAt(Start);
    tell(allocator, "a", 9, 20);
    REQUIRE(grantedTo(allocator, "a", Start).shares(0).permits() == 20);
    tell(allocator, "a", 9, 20, false);
    REQUIRE(grantedTo(allocator, "a", Start + 1s).shares(0).permits() == 5);
    tell(allocator, "a", 9, 20, false);
    REQUIRE(grantedTo(allocator, "a", Start + 8s).shares(0).permits() == 20);
}

// Guards against two agents that use one share: the grant before a smaller one may arrive late.
TEST_CASE("limit book: a grant that is still on its way counts beside the one after it")
{
    control::LimitAllocator allocator = bookAt(Start);
    tell(allocator, "a", 9);
    const double first = grantedTo(allocator, "a", Start, 1).shares(0).share();
    tell(allocator, "b", 9);
    const double second = grantedTo(allocator, "a", Start, 2).shares(0).share();
    REQUIRE(second < first);
    REQUIRE(first + grantedTo(allocator, "b", Start, 1).shares(0).share() <= 0.76);
}

TEST_CASE("limit book: a share of a process that ended is kept for the next one of that agent")
{
    control::LimitAllocator allocator = bookAt(Start);
    tell(allocator, "a 1", 9);
    const double before = grantedTo(allocator, "a 1", Start).shares(0).share();
    control::transferShares(allocator, "a 1", "a 2", Start);
    tell(allocator, "b", 9);
    grantedTo(allocator, "b", Start);
    tell(allocator, "a 2", 9);
    REQUIRE(grantedTo(allocator, "a 2", Start).shares(0).share() >= before / 2);
    REQUIRE(allocator.reserves[Name].outstanding <= 0.76);
}
