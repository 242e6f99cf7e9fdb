#include "control/RouteStore.h"
#include "control/State.h"
#include "table/KeyDigest.h"
#include "table/RouteTable.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;

namespace {

wire::PutRoutes makeChange(std::uint64_t hash, std::uint64_t base, std::uint64_t revision)
{
    wire::PutRoutes result;
    result.set_content_hash(hash);
    result.set_base_revision(base);
    wire::RouteTable &table = *result.mutable_table();
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
    return result;
}

} // namespace

/*
 * The acknowledgement of an operator's change of routes is lost, and the same change is sent again, possibly much later
 * and after other changes. If it were refused as a conflict, a change that is in force would be reported as failed.
 */
TEST_CASE("routes: a resent accepted change is acknowledged again, also after other changes and a restart")
{
    control::RouteStore store;
    REQUIRE(store.put(makeChange(1, 0, 5)).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(store.put(makeChange(2, 5, 6)).status() == wire::OPERATOR_STATUS_DONE);
    const wire::OperatorReply again = store.put(makeChange(1, 0, 5));
    REQUIRE(again.status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(again.table_version() == 5);
    REQUIRE(store.routes().revision() == 6);
    wire::StateSnapshot saved;
    store.save(saved);
    control::RouteStore restored;
    restored.restore(saved);
    REQUIRE(restored.put(makeChange(1, 0, 5)).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(restored.routes().revision() == 6);
}

TEST_CASE("routes: of two changes of one revision the first wins, and the other is never put in force")
{
    control::RouteStore store;
    REQUIRE(store.put(makeChange(1, 0, 5)).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(store.put(makeChange(2, 5, 9)).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(store.put(makeChange(3, 5, 9)).status() == wire::OPERATOR_STATUS_CONFLICT);
    REQUIRE(store.put(makeChange(3, 5, 10)).status() == wire::OPERATOR_STATUS_CONFLICT);
    REQUIRE(store.routes().revision() == 9);
}

TEST_CASE("routes: an invalid change and one that does not raise the revision are refused")
{
    control::RouteStore store;
    REQUIRE(store.put(makeChange(1, 0, 5)).status() == wire::OPERATOR_STATUS_DONE);
    wire::PutRoutes noTimeout = makeChange(2, 5, 6);
    noTimeout.mutable_table()->mutable_routes(0)->set_timeout_ms(0);
    REQUIRE(store.put(noTimeout).status() == wire::OPERATOR_STATUS_BAD_INPUT);
    REQUIRE(store.put(makeChange(3, 5, 5)).status() == wire::OPERATOR_STATUS_BAD_INPUT);
    wire::PutRoutes removesService = makeChange(4, 5, 7);
    removesService.set_partial(true);
    removesService.mutable_table()->clear_services();
    removesService.add_removed_services("orders");
    REQUIRE(store.put(removesService).status() == wire::OPERATOR_STATUS_BAD_INPUT);
    REQUIRE(store.routes().revision() == 5);
    REQUIRE(store.routes().routes_size() == 1);
}

TEST_CASE("routes: a service with numbered keys is divided at whole keys, and agents are sent routes and slices")
{
    control::State state;
    wire::Version version;
    version.set_term(1);
    version.set_index(1);
    wire::Command command;
    *command.mutable_put_routes() = makeChange(1, 0, 5);
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

/** @return a partial change, to which only workspaces are added */
wire::PutRoutes workspaceChange(std::uint64_t hash, std::uint64_t base, std::uint64_t revision)
{
    wire::PutRoutes result;
    result.set_content_hash(hash);
    result.set_base_revision(base);
    result.set_partial(true);
    result.mutable_table()->set_revision(revision);
    return result;
}

std::string workspaceNameOf(const control::RouteStore &store, const std::string &key)
{
    const table::RouteTable routes(store.routes());
    const table::Workspace *workspace = routes.workspaceOf(key);
    return workspace == nullptr ? "" : workspace->name;
}

} // namespace

TEST_CASE("workspaces: partial changes add, move, exchange and remove keys")
{
    control::RouteStore store;
    wire::PutRoutes first = makeChange(1, 0, 5);
    addWorkspace(first, "north", {"n1", "n2"});
    addWorkspace(first, "south", {"s1"});
    addWorkspace(first, "empty", {});
    REQUIRE(store.put(first).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(workspaceNameOf(store, "n2") == "north");
    REQUIRE(workspaceNameOf(store, "x").empty());
    wire::PutRoutes exchanged = workspaceChange(2, 5, 6);
    addWorkspace(exchanged, "north", {"s1"});
    addWorkspace(exchanged, "south", {"n1"});
    exchanged.mutable_table()->set_digest_key(std::string(table::DigestKeyBytes, 't'));
    REQUIRE(store.put(exchanged).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(workspaceNameOf(store, "s1") == "north");
    REQUIRE(workspaceNameOf(store, "n1") == "south");
    REQUIRE(workspaceNameOf(store, "n2").empty());
    wire::PutRoutes removed = workspaceChange(3, 6, 7);
    removed.add_removed_workspaces("north");
    REQUIRE(store.put(removed).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(workspaceNameOf(store, "s1").empty());
    REQUIRE(workspaceNameOf(store, "n1") == "south");
    REQUIRE(table::RouteTable(store.routes()).requiresCallerKeys());
}

TEST_CASE("workspaces: invalid ones are refused, also where a change of one item makes them invalid")
{
    control::RouteStore store;
    wire::PutRoutes first = makeChange(1, 0, 5);
    addWorkspace(first, "north", {"n1"});
    REQUIRE(store.put(first).status() == wire::OPERATOR_STATUS_DONE);
    wire::PutRoutes shared = workspaceChange(2, 5, 6);
    addWorkspace(shared, "south", {"n1"});
    const wire::OperatorReply refused = store.put(shared);
    REQUIRE(refused.status() == wire::OPERATOR_STATUS_BAD_INPUT);
    REQUIRE(refused.findings(0).place() == "workspace south");
    REQUIRE(refused.ShortDebugString().find("n1") == std::string::npos);
    wire::PutRoutes empty = workspaceChange(3, 5, 6);
    addWorkspace(empty, "south", {""});
    REQUIRE(store.put(empty).status() == wire::OPERATOR_STATUS_BAD_INPUT);
    wire::PutRoutes negative = workspaceChange(4, 5, 6);
    addWorkspace(negative, "south", {"s1"});
    negative.mutable_table()->mutable_workspaces(0)->set_rate_per_second(-1);
    REQUIRE(store.put(negative).status() == wire::OPERATOR_STATUS_BAD_INPUT);
    wire::PutRoutes withoutSecret = workspaceChange(5, 0, 6);
    addWorkspace(withoutSecret, "south", {"s1"});
    withoutSecret.mutable_table()->clear_digest_key();
    control::RouteStore fresh;
    REQUIRE(fresh.put(withoutSecret).status() == wire::OPERATOR_STATUS_BAD_INPUT);
    REQUIRE(workspaceNameOf(store, "n1") == "north");
    REQUIRE(store.routes().revision() == 5);
}

TEST_CASE("workspaces: agents get only digests, and partial changes give the same key holders as the whole table")
{
    control::State state;
    const auto putAt = [&](std::uint64_t index, const wire::PutRoutes &routes) {
        wire::Version version;
        version.set_index(index);
        wire::Command command;
        *command.mutable_put_routes() = routes;
        return state.apply(version, command).update;
    };
    wire::PutRoutes first = makeChange(1, 0, 5);
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
    wire::PutRoutes withoutWorkspaces = makeChange(3, 6, 7);
    known = table::merged(known, putAt(3, withoutWorkspaces).table().routes_change());
    REQUIRE_FALSE(table::RouteTable(known).requiresCallerKeys());
    REQUIRE(known.workspaces().empty());
}

TEST_CASE("workspaces: a snapshot keeps them, and one from before there were workspaces is read as without them")
{
    control::RouteStore store;
    REQUIRE(store.put(makeChange(1, 0, 5)).status() == wire::OPERATOR_STATUS_DONE);
    wire::StateSnapshot before;
    store.save(before);
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
    REQUIRE(workspaceNameOf(restored, "n1") == "north");
    REQUIRE(restored.routes().workspaces(0).keys_size() == 0);
}
