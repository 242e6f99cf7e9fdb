#include "process/LocalUpstream.h"

#include "platform/Requests.h"
#include "process/AgentProtocol.h"
#include "process/AgentState.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace bergamotweir::process;
using namespace std::chrono_literals;

namespace {

/** An agent's state with one upstream beside it, which sends heartbeats. */
struct Beside {
    std::unique_ptr<loop::EventLoop> loop = loop::EventLoop::create().value();
    AgentState state;
    std::unique_ptr<LocalUpstream> upstream;

    Beside()
    {
        this->state.protocol = &platform::agentProtocol();
        this->state.ownership.upstreamsHold = true;
        this->state.lease.validUntil = BootClock::now() + 10s;
        LocalUpstreamEvents events;
        events.changed = [] {};
        events.crashed = [](const wire::ReportCrash &) {};
        events.workEnded = [] {};
        events.holdsChanged = [] {};
        events.heartbeatLate = [] {};
        events.decided = [](agent::TicketId, bool) {};
        this->upstream =
            std::make_unique<LocalUpstream>(*this->loop, this->state, heartbeat(0).announcement, std::move(events));
    }

    static Heartbeat heartbeat(std::uint64_t sequence)
    {
        Heartbeat heartbeat;
        heartbeat.announcement.service = "seats";
        heartbeat.announcement.name = "i-1.1";
        heartbeat.announcement.instance = "i-1";
        heartbeat.announcement.incarnation = "i-1.1";
        heartbeat.announcement.address = "127.0.0.1:1";
        heartbeat.sequence = sequence;
        return heartbeat;
    }

    void putTable(wire::GrantWay way)
    {
        wire::RouteTable routes;
        routes.set_revision(1);
        wire::RoutedService &service = *routes.add_services();
        service.set_name("seats");
        service.set_numbered_keys(true);
        service.set_grant_way(way);
        this->state.table = this->state.table.withRoutes(table::RouteTable(routes));
    }
};

} // namespace

/*
 * An agent starts, and its upstream's heartbeat comes before control has told how upstreams of that service get their
 * keys. Taken for one that tells its keys in heartbeats, it would count as holding none: what the agent before had
 * granted it by calls could go to another upstream, and seconds later all that was granted since would be forgotten.
 * Callers would see two upstreams change the same key.
 */
TEST_CASE("a heartbeat says nothing of keys before the agent knows how its upstream gets them")
{
    Beside beside;
    REQUIRE_FALSE(beside.upstream->heartbeat(Beside::heartbeat(1)).holdFor);
    REQUIRE_FALSE(beside.state.ownership.heardFrom.contains("seats"));

    beside.putTable(wire::GRANT_WAY_CALL);
    REQUIRE_FALSE(beside.upstream->heartbeat(Beside::heartbeat(2)).holdFor);
    REQUIRE_FALSE(beside.state.ownership.heardFrom.contains("seats"));

    beside.putTable(wire::GRANT_WAY_HEARTBEAT);
    REQUIRE(beside.upstream->heartbeat(Beside::heartbeat(3)).holdFor);
    REQUIRE(beside.state.ownership.heardFrom.contains("seats"));
}
