#include "ReplicaGroup.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using tests::ReplicaGroup;

TEST_CASE("three replicas commit, survive the loss of their leader and bring it back up to date", "[replica]")
{
    ReplicaGroup group({"a", "b", "c"});
    for (const char *id : {"a", "b", "c"}) {
        group.start(id);
    }
    group.commit("one");
    const std::string lost = group.leader;
    group.stop(lost);
    group.commit("two");
    REQUIRE(group.leader != lost);
    group.start(lost);
    group.commit("three");
    group.runUntil([&] {
        return group.states[lost].size() >= 3;
    });
    REQUIRE(group.states[lost] == std::vector<std::string>{"one", "two", "three"});
    REQUIRE(group.nodes.at(lost)->leaderControlAddress() == "control of " + group.leader);
}
