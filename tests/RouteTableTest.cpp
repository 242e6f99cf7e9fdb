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

wire::RouteTable shopRoutes()
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

TEST_CASE("routes: the longest matching prefix of the host is chosen, regardless of letter case")
{
    const table::RouteTable routes(shopRoutes());
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
    const table::Table both = rows.withRoutes(table::RouteTable(shopRoutes()));
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
    wire::RouteTable table = shopRoutes();
    REQUIRE(table::validateRoutes(table).empty());
    addRoute(table, "/c/", "nobody");
    addRoute(table, "/d/", "orders").mutable_parts(0)->set_weight(0);
    addRoute(table, "/e/", "orders").set_timeout_ms(0);
    addRoute(table, "/f/", "orders").set_attempts(0);
    addRoute(table, "/g", "orders");
    addRoute(table, "/a/", "orders");
    const Findings findings = table::validateRoutes(table);
    REQUIRE(findings.size() == 6);
    REQUIRE(findings.front().place == "route /c/");
}

TEST_CASE("routes: a partial change leaves items that it doesn't name unchanged")
{
    wire::PutRoutes change;
    change.set_partial(true);
    change.mutable_table()->set_revision(9);
    addRoute(*change.mutable_table(), "/a/", "seats").set_timeout_ms(500);
    addRoute(*change.mutable_table(), "/new/", "orders");
    change.add_removed_routes("/");
    const wire::RouteTable after = table::merged(shopRoutes(), change);
    REQUIRE(after.revision() == 9);
    REQUIRE(after.routes_size() == 3);
    const table::RouteTable routes(after);
    REQUIRE(routes.find("shop.example", "/a/x")->timeout == 500ms);
    REQUIRE(routes.find("shop.example", "/a/x")->parts.front().service == "seats");
    REQUIRE(routes.find("shop.example", "/new/x") != nullptr);
    REQUIRE(routes.find("shop.example", "/x") == nullptr);
    REQUIRE(after.services_size() == 2);
}

/*
 * An operator adds 1,400 routes and later changes one of them. If agents were sent the whole table each time, a change
 * would take seconds over a slow link, and until then callers would get the answer that an accepted route doesn't
 * exist.
 */
TEST_CASE("routes: agents get what changed, and joined changes give the same table from any revision between")
{
    const auto same = [](const wire::RouteTable &left, const wire::RouteTable &right) {
        const table::RouteTable read(left);
        if (left.routes_size() != right.routes_size() || left.services_size() != right.services_size()) {
            return false;
        }
        return std::all_of(right.routes().begin(), right.routes().end(), [&](const wire::Route &route) {
            const table::Route *found = read.find(route.host(), route.prefix());
            return found != nullptr && found->name == route.name() && found->timeout.count() == route.timeout_ms()
                   && found->parts.front().service == route.parts(0).service();
        });
    };
    std::vector<wire::RouteTable> tables{shopRoutes()};
    std::vector<wire::PutRoutes> steps;
    unsigned random = 7;
    for (int step = 0; step < 60; ++step) {
        wire::RouteTable next = tables.back();
        next.set_revision(next.revision() + 1 + step % 3);
        for (int edit = 0; edit < 3; ++edit) {
            random = random * 1103515245 + 12345;
            const int index = static_cast<int>((random >> 16U) % 9);
            const std::string prefix = "/p" + std::to_string(index) + "/";
            auto &routes = *next.mutable_routes();
            const auto existing = std::find_if(routes.begin(), routes.end(), [&](const wire::Route &route) {
                return route.prefix() == prefix;
            });
            if (existing == routes.end()) {
                addRoute(next, prefix, "orders").set_source("text");
            } else if (edit == 1) {
                routes.erase(existing);
            } else {
                existing->set_timeout_ms(100 + step);
                existing->mutable_parts(0)->set_service(step % 2 == 0 ? "seats" : "orders");
            }
        }
        steps.push_back(table::difference(tables.back(), next));
        REQUIRE(same(table::merged(tables.back(), steps.back()), next));
        tables.push_back(next);
    }
    for (std::size_t from = 0; from + 5 < steps.size(); ++from) {
        wire::PutRoutes both = steps[from];
        for (std::size_t later = from + 1; later <= from + 4; ++later) {
            both = table::joined(both, steps[later]);
        }
        for (std::size_t between = from; between <= from + 4; ++between) {
            REQUIRE(same(table::merged(tables[between], both), tables[from + 5]));
        }
    }
    REQUIRE(steps.front().ByteSizeLong() < 400);
    REQUIRE(table::withoutSources(tables.back()).ByteSizeLong() < tables.back().ByteSizeLong());
}
