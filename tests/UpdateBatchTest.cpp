#include "control/UpdateBatch.h"

#include "agent/RouteMap.h"
#include "control/Coordinator.h"
#include "control/State.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;

namespace {

wire::StateUpdate updateAt(std::uint64_t index)
{
    wire::StateUpdate update;
    update.mutable_version()->set_term(1);
    update.mutable_version()->set_index(index);
    return update;
}

void addSlice(wire::StateUpdate &update, std::uint64_t begin, std::uint32_t owner, std::uint64_t epoch)
{
    wire::ServiceSlices &service = *update.add_services();
    service.set_service("enrolments");
    wire::SliceOwner &slice = *service.add_slices();
    slice.set_begin(begin);
    slice.set_owner(owner);
    slice.set_epoch(epoch);
}

} // namespace

TEST_CASE("a merged update leaves an agent in the same state as the single updates")
{
    wire::StateUpdate first = updateAt(1);
    first.mutable_table()->set_table_version(1);
    first.mutable_table()->add_failure_domains_out("gc-a");
    addSlice(first, 0, 1, 1);
    first.add_quarantined(7);
    first.add_quarantined(8);
    wire::StateUpdate second = updateAt(2);
    second.mutable_table()->set_table_version(2);
    second.mutable_table()->add_failure_domains_out("bne-a");
    addSlice(second, 0, 2, 2);
    second.add_released_from_quarantine(7);
    wire::StateUpdate third = updateAt(3);
    addSlice(third, 100, 3, 1);
    third.add_quarantined(9);

    agent::RouteMap appliedSingly;
    control::UpdateBatch batch;
    for (const wire::StateUpdate &update : {first, second, third}) {
        agent::apply(appliedSingly, update);
        control::add(batch, update);
    }
    REQUIRE(control::movesSlices(batch));
    agent::RouteMap merged;
    agent::apply(merged, control::take(batch, BootTime{}));
    REQUIRE(batch.empty);
    REQUIRE(merged.version.index() == 3);
    REQUIRE(merged.tableVersion == 2);
    REQUIRE(merged.failureDomainsOut == appliedSingly.failureDomainsOut);
    REQUIRE(merged.failureDomainsOut.size() == 1);
    REQUIRE(merged.quarantined == appliedSingly.quarantined);
    REQUIRE(merged.quarantined.size() == 2);
    const auto &slices = merged.slices.at("enrolments");
    REQUIRE(slices.size() == 2);
    REQUIRE(slices.size() == appliedSingly.slices.at("enrolments").size());
}

TEST_CASE("a fingerprint quarantined again after its release stays quarantined")
{
    control::UpdateBatch batch;
    wire::StateUpdate released = updateAt(1);
    released.add_released_from_quarantine(7);
    wire::StateUpdate again = updateAt(2);
    again.add_quarantined(7);
    control::add(batch, released);
    control::add(batch, again);
    agent::RouteMap map;
    agent::apply(map, control::take(batch, BootTime{}));
    REQUIRE(map.quarantined.size() == 1);
}

// Guards against agents losing their leases repeatedly after the whole fleet starts. Hundreds of agents join at once
// and each registration is sent to each agent, so that the number of messages grows with the square of the number of
// agents. The leader's loop is then busy for longer than an election timeout, and the next leader has the same load.
TEST_CASE("control: a hundred simultaneous registrations are merged into one update for each agent")
{
    control::State state;
    control::Coordinator coordinator(control::CoordinatorSettings{}, state);
    BootTime now{std::chrono::seconds(1000)};
    coordinator.lead(now);
    wire::Hello hello;
    hello.set_agent("a");
    coordinator.opened(1, hello, now);
    coordinator.confirmed(true, now);
    coordinator.tick(now);
    coordinator.takeActions();
    unsigned updatesSent = 0;
    for (std::uint64_t index = 1; index <= 100; ++index) {
        wire::Command command;
        command.mutable_put_upstream()->mutable_upstream()->set_service("catalogue");
        command.mutable_put_upstream()->mutable_upstream()->set_name("u" + std::to_string(index));
        wire::Version version;
        version.set_term(1);
        version.set_index(index);
        coordinator.applied(state.apply(version, command));
    }
    now += control::UpdateBatch::MinInterval;
    coordinator.tick(now);
    std::size_t upstreams = 0;
    for (const control::Action &action : coordinator.takeActions()) {
        if (const auto *const send = std::get_if<control::SendAction>(&action); send != nullptr) {
            updatesSent += send->message->has_update() ? 1 : 0;
            upstreams += static_cast<std::size_t>(send->message->update().upstreams_size());
        }
    }
    REQUIRE(upstreams == 100);
    REQUIRE(updatesSent == 2);
}
