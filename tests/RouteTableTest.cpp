#include "table/RouteTable.h"
#include "table/Table.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

void addService(wire::RouteTable &table, const std::string &name, bool numbered = false)
{
    wire::RoutedService &service = *table.add_services();
    service.set_name(name);
    service.set_numbered_keys(numbered);
}

wire::Route &addRoute(wire::RouteTable &table, const std::string &prefix, const std::string &service)
{
    wire::Route &route = *table.add_routes();
    route.set_name(prefix);
    route.set_host("Shop.Example");
    route.set_prefix(prefix);
    route.set_timeout_ms(1000);
    route.set_attempts(2);
    wire::RoutePart &part = *route.add_parts();
    part.set_service(service);
    part.set_weight(1);
    return route;
}

wire::RouteTable shop()
{
    wire::RouteTable table;
    table.set_revision(7);
    addService(table, "orders");
    addService(table, "seats", true);
    addRoute(table, "/", "orders");
    addRoute(table, "/a/", "orders");
    addRoute(table, "/a/b/", "seats");
    return table;
}

} // namespace

TEST_CASE("routes: the longest prefix of the host wins, whatever the letters' case")
{
    const table::RouteTable routes(shop());
    REQUIRE(routes.revision() == 7);
    REQUIRE(routes.find("shop.example", "/a/b/c")->prefix == "/a/b/");
    REQUIRE(routes.find("SHOP.example", "/a/bc")->prefix == "/a/");
    REQUIRE(routes.find("shop.example", "/x")->prefix == "/");
    REQUIRE(routes.find("other.example", "/x") == nullptr);
    REQUIRE(routes.find("shop.example", "") == nullptr);
    REQUIRE(routes.find("shop.example", "/a/b/")->timeout == 1000ms);
}

TEST_CASE("routes: services that only the routes name are known to the table")
{
    const table::Table rows = table::Table::parse("service,keyed\ncatalogue,yes\n").value();
    const table::Table both = rows.withRoutes(table::RouteTable(shop()));
    REQUIRE(both.services() == std::vector<std::string>{"catalogue", "orders", "seats"});
    REQUIRE(both.hasService("orders"));
    REQUIRE(both.service("catalogue").keyed);
    REQUIRE(both.service("seats").keyed);
    REQUIRE(both.service("seats").numberedKeys);
    REQUIRE_FALSE(both.service("orders").keyed);
    REQUIRE_FALSE(rows.hasService("orders"));
}

TEST_CASE("routes: all that is wrong with a table is found at once, with its place")
{
    wire::RouteTable table = shop();
    REQUIRE(table::findingsIn(table).empty());
    addRoute(table, "/c/", "nobody");
    addRoute(table, "/d/", "orders").mutable_parts(0)->set_weight(0);
    addRoute(table, "/e/", "orders").set_timeout_ms(0);
    addRoute(table, "/f/", "orders").set_attempts(0);
    addRoute(table, "/g", "orders");
    addRoute(table, "/a/", "orders");
    const Findings findings = table::findingsIn(table);
    REQUIRE(findings.size() == 6);
    REQUIRE(findings.front().place == "route /c/");
}

TEST_CASE("routes: a change of named items leaves the others as they are")
{
    wire::PutRoutes change;
    change.set_partial(true);
    change.mutable_table()->set_revision(9);
    addRoute(*change.mutable_table(), "/a/", "seats").set_timeout_ms(500);
    addRoute(*change.mutable_table(), "/new/", "orders");
    change.add_removed_routes("/");
    const wire::RouteTable after = table::merged(shop(), change);
    REQUIRE(after.revision() == 9);
    REQUIRE(after.routes_size() == 3);
    const table::RouteTable routes(after);
    REQUIRE(routes.find("shop.example", "/a/x")->timeout == 500ms);
    REQUIRE(routes.find("shop.example", "/a/x")->parts.front().service == "seats");
    REQUIRE(routes.find("shop.example", "/new/x") != nullptr);
    REQUIRE(routes.find("shop.example", "/x") == nullptr);
    REQUIRE(after.services_size() == 2);
}
