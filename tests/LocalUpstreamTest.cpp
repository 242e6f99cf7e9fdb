#include "process/LocalUpstream.h"

#include "platform/Requests.h"
#include "process/AgentProtocol.h"
#include "process/AgentState.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace bergamotweir;
using namespace bergamotweir::process;
using namespace std::chrono_literals;

namespace {

/** An agent's state with one upstream beside it, which sends heartbeats. */
struct Beside {
    std::unique_ptr<loop::EventLoop> loop = loop::EventLoop::create().value();
    AgentState state;
    std::unique_ptr<LocalUpstream> upstream;
    agent::TicketId lastTicket = 0;

    Beside()
    {
        this->state.protocol = &platform::agentProtocol();
        this->state.ownership.upstreamsHoldGrants = true;
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

    /** A request arrives and is given up at once. @return whether it was let through or may wait for its turn */
    bool takesRequest()
    {
        return this->enter() != agent::Admission::NotServing;
    }

    agent::Admission enter()
    {
        const agent::TicketId ticket = ++this->lastTicket;
        const agent::Admission admission = this->upstream->enter({ticket, BootClock::now() + 1s, {}});
        if (admission == agent::Admission::Admitted) {
            this->upstream->giveBack(ticket);
        } else {
            this->upstream->cancel(ticket);
        }
        return admission;
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
    REQUIRE_FALSE(beside.state.ownership.servicesReported.contains("seats"));

    beside.putTable(wire::GRANT_WAY_CALL);
    REQUIRE_FALSE(beside.upstream->heartbeat(Beside::heartbeat(2)).holdFor);
    REQUIRE_FALSE(beside.state.ownership.servicesReported.contains("seats"));

    beside.putTable(wire::GRANT_WAY_HEARTBEAT);
    REQUIRE(beside.upstream->heartbeat(Beside::heartbeat(3)).holdFor);
    REQUIRE(beside.state.ownership.servicesReported.contains("seats"));
}

/*
 * An upstream says that it leaves, and its agent acknowledges that. Two seconds later the upstream may end at any
 * moment: a request that still gets there is cut off.
 */
TEST_CASE("a leaving upstream gets no request two seconds after that was acknowledged")
{
    Beside beside;
    beside.putTable(wire::GRANT_WAY_HEARTBEAT);
    REQUIRE(beside.takesRequest());
    Heartbeat leaving = Beside::heartbeat(1);
    leaving.isDraining = true;
    beside.upstream->heartbeat(leaving);
    REQUIRE_FALSE(beside.upstream->takesWork());
    // Requests that are on their way while the others hear of it are served.
    REQUIRE(beside.takesRequest());
    std::this_thread::sleep_for(1900ms);
    REQUIRE_FALSE(beside.takesRequest());
}

/*
 * An operator empties a failure domain and is told that this is in force. Five seconds later it may be switched off: a
 * request that still gets to an upstream there is lost.
 */
TEST_CASE("an upstream in a failure domain marked out gets no request five seconds later")
{
    Beside beside;
    beside.putTable(wire::GRANT_WAY_HEARTBEAT);
    beside.state.domainOutSince = BootClock::now() - 1s;
    REQUIRE(beside.takesRequest());
    beside.state.domainOutSince = BootClock::now() - 4900ms;
    REQUIRE_FALSE(beside.takesRequest());
    beside.state.domainOutSince = BootTime();
    REQUIRE(beside.takesRequest());
}
