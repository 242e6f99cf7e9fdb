#include "control/RouteBook.h"
#include "control/State.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;

namespace {

wire::PutRoutes change(std::uint64_t hash, std::uint64_t base, std::uint64_t revision)
{
    wire::PutRoutes made;
    made.set_content_hash(hash);
    made.set_base_revision(base);
    wire::RouteTable &table = *made.mutable_table();
    table.set_revision(revision);
    table.add_services()->set_name("orders");
    table.mutable_services(0)->set_numbered_keys(true);
    wire::Route &route = *table.add_routes();
    route.set_name("r");
    route.set_host("shop.example");
    route.set_prefix("/");
    route.set_timeout_ms(1000);
    route.set_attempts(1);
    route.add_parts()->set_service("orders");
    route.mutable_parts(0)->set_weight(1);
    return made;
}

} // namespace

/*
 * An operator changes the routes and gets no answer: the acknowledgement was lost. It sends the same change again,
 * perhaps much later and after others. Refused as a conflict, it would report a failure of what is in force.
 */
TEST_CASE("routes: an accepted change that is sent again is acknowledged again, also after others and a restart")
{
    control::RouteBook book;
    REQUIRE(book.put(change(1, 0, 5)).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(book.put(change(2, 5, 6)).status() == wire::OPERATOR_STATUS_DONE);
    const wire::OperatorReply again = book.put(change(1, 0, 5));
    REQUIRE(again.status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(again.table_version() == 5);
    REQUIRE(book.routes().revision() == 6);
    wire::StateSnapshot saved;
    book.save(saved);
    control::RouteBook restored;
    restored.restore(saved);
    REQUIRE(restored.put(change(1, 0, 5)).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(restored.routes().revision() == 6);
}

TEST_CASE("routes: of two changes of one revision the first wins, and the loser never comes into force")
{
    control::RouteBook book;
    REQUIRE(book.put(change(1, 0, 5)).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(book.put(change(2, 5, 9)).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(book.put(change(3, 5, 9)).status() == wire::OPERATOR_STATUS_CONFLICT);
    REQUIRE(book.put(change(3, 5, 10)).status() == wire::OPERATOR_STATUS_CONFLICT);
    REQUIRE(book.routes().revision() == 9);
}

TEST_CASE("routes: an invalid change and one that doesn't raise the revision are refused")
{
    control::RouteBook book;
    REQUIRE(book.put(change(1, 0, 5)).status() == wire::OPERATOR_STATUS_DONE);
    wire::PutRoutes noTimeout = change(2, 5, 6);
    noTimeout.mutable_table()->mutable_routes(0)->set_timeout_ms(0);
    REQUIRE(book.put(noTimeout).status() == wire::OPERATOR_STATUS_BAD_INPUT);
    REQUIRE(book.put(change(3, 5, 5)).status() == wire::OPERATOR_STATUS_BAD_INPUT);
    wire::PutRoutes removesService = change(4, 5, 7);
    removesService.set_partial(true);
    removesService.mutable_table()->clear_services();
    removesService.add_removed_services("orders");
    REQUIRE(book.put(removesService).status() == wire::OPERATOR_STATUS_BAD_INPUT);
    REQUIRE(book.routes().revision() == 5);
    REQUIRE(book.routes().routes_size() == 1);
}

TEST_CASE("routes: a service with numbered keys is divided at whole keys, and agents are told of routes and slices")
{
    control::State state;
    wire::Version version;
    version.set_term(1);
    version.set_index(1);
    wire::Command command;
    *command.mutable_put_routes() = change(1, 0, 5);
    const control::Applied applied = state.apply(version, command);
    REQUIRE(applied.visible);
    REQUIRE(applied.update.table().routes_change().table().revision() == 5);
    const control::SliceMap &slices = state.services().at("orders");
    REQUIRE(slices.slices().size() == control::State::FirstSlices);
    for (const auto &[begin, holding] : slices.slices()) {
        REQUIRE(begin % (std::uint64_t{1} << 48U) == 0);
    }
    REQUIRE(std::next(slices.slices().begin())->first == std::uint64_t{1024} << 48U);
    control::State restored;
    REQUIRE(restored.restore(state.snapshot()));
    REQUIRE(restored.tables().table().service("orders").numberedKeys);
    REQUIRE(restored.fullUpdate().table().routes().revision() == 5);
}
