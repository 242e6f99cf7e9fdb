#include "table/Table.h"
#include "table/ChangeWarnings.h"
#include "table/RowDifference.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace bergamotweir::table;
using namespace std::chrono_literals;

namespace {

constexpr const char *Example = "# who: platform team\n"
                                "service,weight,failure_domain,upstream,limit,keyed,timeout_ms,in_service\r\n"
                                "*,,*,*,12,,800,\n"
                                "catalogue,,*,*,,yes,,\n"
                                "catalogue,2,*,cat-1,,,,\n"
                                "catalogue,3,bne-a,*,9,,,\n"
                                ",,,,,,,\n"
                                "*,,bne-b,*,,,,no\n";

} // namespace

TEST_CASE("the most specific row takes precedence, separately for each column")
{
    const Table table = Table::parse(Example).value();
    CHECK(table.services() == std::vector<std::string>{"catalogue"});
    CHECK(table.service("catalogue") == ServicePolicy{.keyed = true, .timeout = 800ms});
    CHECK(table.upstream("catalogue", "bne-a", "cat-1") == UpstreamPolicy{.weight = 2, .limit = 9});
    CHECK(table.upstream("catalogue", "bne-a", "cat-2") == UpstreamPolicy{.weight = 3, .limit = 9});
    CHECK(table.upstream("catalogue", "bne-b", "cat-3")
          == UpstreamPolicy{.weight = 1, .limit = 12, .inService = false});
    CHECK_FALSE(table.hasService("enrolments"));
    CHECK(Table::parse(table.toCsv()).value().toCsv() == table.toCsv());
}

TEST_CASE("parsing a table reports all findings at once, each with its row and column")
{
    const Result<Table> table = Table::parse("service,failure_domain,wieght,limit,timeout_ms\n"
                                             "cat alogue,*,1,-3,5\n"
                                             "enrolments,bne-a,1,4,5\n"
                                             "enrolments,,1,4\n"
                                             "\"enrol\"x,*,1,4,5\n"
                                             "fees,*,,4,5\n"
                                             "fees,*,,6,0\n");
    REQUIRE_FALSE(table);
    CHECK(toText(table.error())
          == "row 1: unknown column \"wieght\"; write one of service, failure_domain, upstream, weight, limit, keyed, "
             "timeout_ms, slo_availability, slo_latency_ms, slo_percentile, in_service\n"
             "row 2, column service: \"cat alogue\" isn't a name of at most 64 letters, digits, '.', '_' and '-', nor "
             "*; write for example *\n"
             "row 2, column limit: \"-3\" isn't a whole number from 0 to 10000; write for example 12\n"
             "row 3, column timeout_ms: is set for a failure domain or an upstream, but holds for a whole service; "
             "write it in the row with failure_domain * and upstream *\n"
             "row 4: has 4 cells, the header has 5; write one cell for each column, empty where nothing is set\n"
             "row 5: a quote is not closed, or stands inside a cell; write \" only round a cell\n"
             "row 7, column timeout_ms: \"0\" isn't a whole number of milliseconds from 1 to 600000; write for example "
             "1000\n"
             "row 7, column limit: row 6 sets it for the same service, failure domain and upstream; write it in one of "
             "the two rows\n");
}

TEST_CASE("two tables are compared by content")
{
    const Table before = Table::parse("service,weight,limit\nfees,1,\npay,2,3\n").value();
    const Table same = Table::parse("limit,service,weight\n# moved\n3,pay,2\n,fees,1\n").value();
    const Table after = Table::parse("service,weight,limit\nfees,1,5\n").value();
    CHECK(differences(before, same).empty());
    const std::vector<RowDifference> found = differences(before, after);
    REQUIRE(found.size() == 2);
    CHECK(toText(found[0]) == "fees,*,*: limit not set -> 5");
    CHECK(toText(found[1]) == "pay,*,*: weight 2 -> not set; limit 3 -> not set");
}

TEST_CASE("a warning is given for a change that takes out the last upstream of a service, and only for that change")
{
    // An operator marks failure domain bne-b out while bne-a is already out: every request of the service would be
    // refused, which the table alone doesn't show.
    const Table table = Table::parse("service,weight\nfees,1\npay,1\n").value();
    const std::vector<KnownUpstream> known{{"fees", "bne-a", "f1"}, {"fees", "bne-b", "f2"}, {"pay", "gc-a", "p1"}};
    const Marks oneOut{.failureDomainsOut = {"bne-a"}, .upstreamsOut = {}};
    const Marks bothOut{.failureDomainsOut = {"bne-a", "bne-b"}, .upstreamsOut = {}};
    CHECK(warnings(table, {}, table, oneOut, known).empty());
    const Findings found = warnings(table, oneOut, table, bothOut, known);
    REQUIRE(found.size() == 1);
    CHECK(found[0].place == "service fees");
    CHECK(warnings(table, bothOut, table, bothOut, known).empty());
}
