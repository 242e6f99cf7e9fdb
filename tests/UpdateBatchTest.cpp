#include "control/UpdateBatch.h"

#include "agent/RouteMap.h"
#include "control/Coordinator.h"
#include "control/State.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;

namespace {

wire::StateUpdate at(std::uint64_t index)
{
    wire::StateUpdate update;
    update.mutable_version()->set_term(1);
    update.mutable_version()->set_index(index);
    return update;
}

void own(wire::StateUpdate &update, std::uint64_t begin, std::uint32_t owner, std::uint64_t epoch)
{
    wire::ServiceSlices &service = *update.add_services();
    service.set_service("enrolments");
    wire::SliceOwner &slice = *service.add_slices();
    slice.set_begin(begin);
    slice.set_owner(owner);
    slice.set_epoch(epoch);
}

} // namespace

TEST_CASE("a merged update leaves an agent where the single ones would")
{
    wire::StateUpdate first = at(1);
    first.mutable_table()->set_table_version(1);
    first.mutable_table()->add_failure_domains_out("gc-a");
    own(first, 0, 1, 1);
    first.add_quarantined(7);
    first.add_quarantined(8);
    wire::StateUpdate second = at(2);
    second.mutable_table()->set_table_version(2);
    second.mutable_table()->add_failure_domains_out("bne-a");
    own(second, 0, 2, 2);
    second.add_released_from_quarantine(7);
    wire::StateUpdate third = at(3);
    own(third, 100, 3, 1);
    third.add_quarantined(9);

    agent::RouteMap single;
    control::UpdateBatch batch;
    for (const wire::StateUpdate &update : {first, second, third}) {
        agent::apply(single, update);
        control::add(batch, update);
    }
    REQUIRE(control::movesSlices(batch));
    agent::RouteMap merged;
    agent::apply(merged, control::take(batch, BootTime{}));
    REQUIRE(batch.empty);
    REQUIRE(merged.version.index() == 3);
    REQUIRE(merged.tableVersion == 2);
    REQUIRE(merged.failureDomainsOut == single.failureDomainsOut);
    REQUIRE(merged.failureDomainsOut.size() == 1);
    REQUIRE(merged.quarantined == single.quarantined);
    REQUIRE(merged.quarantined.size() == 2);
    const auto &slices = merged.slices.at("enrolments");
    REQUIRE(slices.size() == 2);
    REQUIRE(slices.size() == single.slices.at("enrolments").size());
}

TEST_CASE("a fingerprint quarantined again after its release stays quarantined")
{
    control::UpdateBatch batch;
    wire::StateUpdate released = at(1);
    released.add_released_from_quarantine(7);
    wire::StateUpdate again = at(2);
    again.add_quarantined(7);
    control::add(batch, released);
    control::add(batch, again);
    agent::RouteMap map;
    agent::apply(map, control::take(batch, BootTime{}));
    REQUIRE(map.quarantined.size() == 1);
}

// Every agent loses its lease, again and again, after a start of the whole fleet.
// Order: hundreds of agents join; each registration is sent to each agent; the leader's loop is busy for longer than
// an election timeout; the next leader meets the same agents. Cause: messages grow with the square of the agents.
TEST_CASE("control: a hundred registrations at once are one update to each agent, not a hundred")
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
    unsigned sent = 0;
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
            sent += send->message->has_update() ? 1 : 0;
            upstreams += static_cast<std::size_t>(send->message->update().upstreams_size());
        }
    }
    REQUIRE(upstreams == 100);
    REQUIRE(sent == 2);
}
