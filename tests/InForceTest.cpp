#include "control/State.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;

namespace {

wire::Version at(std::uint64_t index)
{
    wire::Version version;
    version.set_term(1);
    version.set_index(index);
    return version;
}

wire::Command markOut(const std::string &changeId)
{
    wire::Command command;
    command.mutable_mark()->set_change_id(changeId);
    command.mutable_mark()->set_name("bne-a");
    return command;
}

} // namespace

TEST_CASE("what agents must have in force does not advance with changes that are not sent to them")
{
    // An operator marks out a failure domain that is already out, and waits until the change is in force. Nothing is
    // sent to the agents, so a wait for the new version would never end and every agent would appear disconnected.
    control::State state;
    CHECK(state.apply(at(1), markOut("one")).visible);
    CHECK_FALSE(state.apply(at(2), markOut("two")).visible);
    CHECK(state.version().index() == 2);
    CHECK(state.visibleVersion().index() == 1);
    control::State restored;
    REQUIRE(restored.restore(state.snapshot()));
    CHECK(restored.visibleVersion().index() == 2);
}
