#include "control/RouteStore.h"
#include "control/State.h"
#include "table/KeyDigest.h"
#include "table/RouteTable.h"

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
    control::RouteStore book;
    REQUIRE(book.put(change(1, 0, 5)).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(book.put(change(2, 5, 6)).status() == wire::OPERATOR_STATUS_DONE);
    const wire::OperatorReply again = book.put(change(1, 0, 5));
    REQUIRE(again.status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(again.table_version() == 5);
    REQUIRE(book.routes().revision() == 6);
    wire::StateSnapshot saved;
    book.save(saved);
    control::RouteStore restored;
    restored.restore(saved);
    REQUIRE(restored.put(change(1, 0, 5)).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(restored.routes().revision() == 6);
}

TEST_CASE("routes: of two changes of one revision the first wins, and the loser never comes into force")
{
    control::RouteStore book;
    REQUIRE(book.put(change(1, 0, 5)).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(book.put(change(2, 5, 9)).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(book.put(change(3, 5, 9)).status() == wire::OPERATOR_STATUS_CONFLICT);
    REQUIRE(book.put(change(3, 5, 10)).status() == wire::OPERATOR_STATUS_CONFLICT);
    REQUIRE(book.routes().revision() == 9);
}

TEST_CASE("routes: an invalid change and one that doesn't raise the revision are refused")
{
    control::RouteStore book;
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
    REQUIRE(slices.slices().size() == control::State::InitialSlices);
    for (const auto &[begin, holding] : slices.slices()) {
        REQUIRE(begin % (std::uint64_t{1} << 48U) == 0);
    }
    REQUIRE(std::next(slices.slices().begin())->first == std::uint64_t{1024} << 48U);
    control::State restored;
    REQUIRE(restored.restore(state.snapshot()));
    REQUIRE(restored.tables().table().service("orders").numberedKeys);
    REQUIRE(restored.fullUpdate().table().routes().revision() == 5);
}

namespace {

const std::string Secret(table::DigestKeyBytes, 's');

void addWorkspace(wire::PutRoutes &change, const std::string &name, const std::vector<std::string> &keys)
{
    change.mutable_table()->set_digest_key(Secret);
    change.mutable_table()->set_callers_need_keys(true);
    wire::Workspace &workspace = *change.mutable_table()->add_workspaces();
    workspace.set_name(name);
    workspace.set_source("{}");
    for (const std::string &key : keys) {
        workspace.add_keys(key);
    }
}

/** A change of workspaces alone. */
wire::PutRoutes workspaceChange(std::uint64_t hash, std::uint64_t base, std::uint64_t revision)
{
    wire::PutRoutes made;
    made.set_content_hash(hash);
    made.set_base_revision(base);
    made.set_partial(true);
    made.mutable_table()->set_revision(revision);
    return made;
}

std::string holderOf(const control::RouteStore &book, const std::string &key)
{
    const table::RouteTable routes(book.routes());
    const table::Workspace *workspace = routes.workspaceOf(key);
    return workspace == nullptr ? "" : workspace->name;
}

} // namespace

TEST_CASE("workspaces: keys are added, moved, exchanged and removed by changes of named items")
{
    control::RouteStore book;
    wire::PutRoutes first = change(1, 0, 5);
    addWorkspace(first, "north", {"n1", "n2"});
    addWorkspace(first, "south", {"s1"});
    addWorkspace(first, "empty", {});
    REQUIRE(book.put(first).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(holderOf(book, "n2") == "north");
    REQUIRE(holderOf(book, "x").empty());
    wire::PutRoutes exchanged = workspaceChange(2, 5, 6);
    addWorkspace(exchanged, "north", {"s1"});
    addWorkspace(exchanged, "south", {"n1"});
    exchanged.mutable_table()->set_digest_key(std::string(table::DigestKeyBytes, 't'));
    REQUIRE(book.put(exchanged).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(holderOf(book, "s1") == "north");
    REQUIRE(holderOf(book, "n1") == "south");
    REQUIRE(holderOf(book, "n2").empty());
    wire::PutRoutes removed = workspaceChange(3, 6, 7);
    removed.add_removed_workspaces("north");
    REQUIRE(book.put(removed).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(holderOf(book, "s1").empty());
    REQUIRE(holderOf(book, "n1") == "south");
    REQUIRE(table::RouteTable(book.routes()).requiresCallerKeys());
}

TEST_CASE("workspaces: invalid ones are refused, also where a change of one item makes them so")
{
    control::RouteStore book;
    wire::PutRoutes first = change(1, 0, 5);
    addWorkspace(first, "north", {"n1"});
    REQUIRE(book.put(first).status() == wire::OPERATOR_STATUS_DONE);
    wire::PutRoutes shared = workspaceChange(2, 5, 6);
    addWorkspace(shared, "south", {"n1"});
    const wire::OperatorReply refused = book.put(shared);
    REQUIRE(refused.status() == wire::OPERATOR_STATUS_BAD_INPUT);
    REQUIRE(refused.findings(0).place() == "workspace south");
    REQUIRE(refused.ShortDebugString().find("n1") == std::string::npos);
    wire::PutRoutes empty = workspaceChange(3, 5, 6);
    addWorkspace(empty, "south", {""});
    REQUIRE(book.put(empty).status() == wire::OPERATOR_STATUS_BAD_INPUT);
    wire::PutRoutes negative = workspaceChange(4, 5, 6);
    addWorkspace(negative, "south", {"s1"});
    negative.mutable_table()->mutable_workspaces(0)->set_rate_per_second(-1);
    REQUIRE(book.put(negative).status() == wire::OPERATOR_STATUS_BAD_INPUT);
    wire::PutRoutes withoutSecret = workspaceChange(5, 0, 6);
    addWorkspace(withoutSecret, "south", {"s1"});
    withoutSecret.mutable_table()->clear_digest_key();
    control::RouteStore fresh;
    REQUIRE(fresh.put(withoutSecret).status() == wire::OPERATOR_STATUS_BAD_INPUT);
    REQUIRE(holderOf(book, "n1") == "north");
    REQUIRE(book.routes().revision() == 5);
}

TEST_CASE("workspaces: agents get digests alone, and the same holders by changes as by the whole table")
{
    control::State state;
    const auto putAt = [&](std::uint64_t index, const wire::PutRoutes &routes) {
        wire::Version version;
        version.set_index(index);
        wire::Command command;
        *command.mutable_put_routes() = routes;
        return state.apply(version, command).update;
    };
    wire::PutRoutes first = change(1, 0, 5);
    addWorkspace(first, "north", {"key-north"});
    addWorkspace(first, "south", {"key-south"});
    putAt(1, first);
    wire::RouteTable known = state.fullUpdate().table().routes();
    REQUIRE(state.fullUpdate().SerializeAsString().find("key-north") == std::string::npos);
    wire::PutRoutes moved = workspaceChange(2, 5, 6);
    addWorkspace(moved, "south", {"key-south", "key-late"});
    moved.add_removed_workspaces("north");
    const wire::StateUpdate update = putAt(2, moved);
    REQUIRE(update.SerializeAsString().find("key-late") == std::string::npos);
    known = table::merged(known, update.table().routes_change());
    const table::RouteTable changed(known);
    const table::RouteTable whole(state.fullUpdate().table().routes());
    for (const table::RouteTable &routes : {changed, whole}) {
        REQUIRE(routes.requiresCallerKeys());
        REQUIRE(routes.workspaceOf("key-north") == nullptr);
        REQUIRE(routes.workspaceOf("key-late")->name == "south");
    }
    wire::PutRoutes without = change(3, 6, 7);
    known = table::merged(known, putAt(3, without).table().routes_change());
    REQUIRE_FALSE(table::RouteTable(known).requiresCallerKeys());
    REQUIRE(known.workspaces().empty());
}

TEST_CASE("workspaces: a snapshot keeps them, and one from before there were any is read as without")
{
    control::RouteStore book;
    REQUIRE(book.put(change(1, 0, 5)).status() == wire::OPERATOR_STATUS_DONE);
    wire::StateSnapshot before;
    book.save(before);
    control::RouteStore upgraded;
    upgraded.restore(before);
    REQUIRE_FALSE(table::RouteTable(upgraded.routes()).requiresCallerKeys());
    wire::PutRoutes first = workspaceChange(2, 5, 6);
    addWorkspace(first, "north", {"n1"});
    REQUIRE(upgraded.put(first).status() == wire::OPERATOR_STATUS_DONE);
    wire::StateSnapshot saved;
    upgraded.save(saved);
    control::RouteStore restored;
    restored.restore(saved);
    REQUIRE(holderOf(restored, "n1") == "north");
    REQUIRE(restored.routes().workspaces(0).keys_size() == 0);
}
