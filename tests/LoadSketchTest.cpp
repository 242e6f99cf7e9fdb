#include "agent/LoadSketch.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Half = std::uint64_t{1} << 63U;
constexpr std::uint64_t HotKey = Half + 12345;
const BootTime Start{1000s};

/** @return a map with two slices of one service and their owners; the tests' local upstream is 1 */
agent::RouteMap twoSlices(std::uint32_t lowerOwner, std::uint32_t upperOwner)
{
    wire::StateUpdate update;
    update.mutable_version()->set_term(1);
    update.mutable_version()->set_index(1);
    wire::ServiceSlices &service = *update.add_services();
    service.set_service("catalogue");
    for (const std::uint64_t begin : {std::uint64_t{0}, Half}) {
        wire::SliceOwner &slice = *service.add_slices();
        slice.set_begin(begin);
        slice.set_owner(begin == 0 ? lowerOwner : upperOwner);
        slice.set_epoch(1);
    }
    agent::RouteMap map;
    agent::apply(map, update);
    return map;
}

} // namespace

// A few percent of all requests go to one key among hundreds of thousands. It alone fills its upstream, so control
// should give it a slice of its own, apart from keys that other upstreams could serve. Guards against a sketch that
// loses the hot key because new keys displace it.
TEST_CASE("the hot key is reported among a hundred thousand others, and cold ones are not")
{
    const agent::RouteMap map = twoSlices(1, 1);
    agent::Ownership ownership;
    ownership.ownUpstreams.insert(1);
    agent::LoadSketch sketch;
    sketch.since = Start;
    pcg32 random(7);
    for (int request = 0; request < 100000; ++request) {
        const bool hot = random(100) < 5;
        const std::uint64_t hash = hot ? HotKey : (std::uint64_t{random()} << 32U) + random();
        agent::countRequest(sketch, map, "catalogue", hash);
    }
    REQUIRE(sketch.services.at("catalogue").keys.size() <= agent::LoadSketch::MaxTrackedKeys);
    wire::Renew renew;
    agent::reportLoad(sketch, map, ownership, Start + 10s, renew);
    REQUIRE(renew.hot_keys_size() == 1);
    REQUIRE(renew.hot_keys(0).hash() == HotKey);
    REQUIRE(renew.hot_keys(0).rate() > 300);
    REQUIRE(renew.hot_keys(0).rate() <= 510);
    REQUIRE(renew.loads_size() == 2);
    REQUIRE(renew.loads(0).rate() + renew.loads(1).rate() == Approx(10000));
}

TEST_CASE("slices owned here are reported even without requests, others are not")
{
    const agent::RouteMap map = twoSlices(1, 2);
    agent::Ownership ownership;
    ownership.ownUpstreams.insert(1);
    agent::LoadSketch sketch;
    sketch.since = Start;
    agent::countRequest(sketch, map, "unknown", 1);
    wire::Renew renew;
    agent::reportLoad(sketch, map, ownership, Start + 1s, renew);
    REQUIRE(renew.loads_size() == 1);
    REQUIRE(renew.loads(0).begin() == 0);
    REQUIRE(renew.loads(0).rate() == 0);
    REQUIRE(renew.hot_keys_size() == 0);
}
