#include "process/LocalUpstream.h"

#include "ResettingListener.h"

#include "platform/Heartbeats.h"
#include "platform/Requests.h"
#include "process/AgentProtocol.h"
#include "process/AgentState.h"
#include "process/OwnProtocol.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace bergamotweir;
using namespace bergamotweir::process;
using namespace std::chrono_literals;

namespace {

/** An agent's state with one local upstream, which sends heartbeats. */
struct UpstreamFixture {
    std::unique_ptr<loop::EventLoop> loop = loop::EventLoop::create().value();
    AgentState state;
    std::unique_ptr<LocalUpstream> upstream;
    agent::TicketId lastTicket = 0;

    explicit UpstreamFixture(const std::string &address = "127.0.0.1:1",
                             const AgentProtocol &protocol = platform::agentProtocol())
    {
        this->state.protocol = &protocol;
        this->state.ownership.upstreamsHoldGrants = protocol.usesHeartbeats;
        this->state.lease.validUntil = BootClock::now() + 10s;
        LocalUpstreamEvents events;
        events.changed = [] {};
        events.crashed = [](const wire::ReportCrash &) {};
        events.workEnded = [] {};
        events.heldKeysChanged = [] {};
        events.heartbeatLate = [] {};
        events.decided = [](agent::TicketId, bool) {};
        Announcement announcement = heartbeat(0).announcement;
        announcement.address = address;
        this->upstream =
            std::make_unique<LocalUpstream>(*this->loop, this->state, std::move(announcement), std::move(events));
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
        heartbeat.listsKeys = true;
        return heartbeat;
    }

    /** Applies a first heartbeat, which lists keys as held. */
    void reportHeldKeys(const std::string &address)
    {
        Heartbeat heartbeat = UpstreamFixture::heartbeat(1);
        heartbeat.announcement.address = address;
        heartbeat.held = {{{0, 4095}, 7}};
        this->upstream->applyHeartbeat(heartbeat);
    }

    /** Requests admission and cancels at once. @return whether the request was admitted or queued */
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

    /** Sends requests one after the other until a time has passed. */
    void sendFor(std::chrono::milliseconds duration)
    {
        this->loop->after(duration, [this] {
            this->loop->stop();
        });
        this->sendNext();
        this->loop->run();
    }

    void sendNext()
    {
        Dispatch request;
        request.call.method = "GET";
        request.call.target = "/x";
        request.service = "seats";
        request.requestId = "r-" + std::to_string(++this->lastTicket);
        request.deadline = BootClock::now() + 1s;
        if (this->upstream->enter({this->lastTicket, request.deadline, {}}) != agent::Admission::Admitted) {
            this->upstream->cancel(this->lastTicket);
            this->loop->after(20ms, [this] {
                this->sendNext();
            });
            return;
        }
        this->upstream->dispatch(this->lastTicket, std::move(request), [this](const DispatchResult &) {
            this->loop->after(20ms, [this] {
                this->sendNext();
            });
        });
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

// Guards against keys granted to two upstreams because a starting agent takes a heartbeat for a report of no keys.
TEST_CASE("a heartbeat's held keys are ignored until the agent knows how its upstream receives grants")
{
    UpstreamFixture fixture;
    REQUIRE_FALSE(fixture.upstream->applyHeartbeat(UpstreamFixture::heartbeat(1)).holdFor);
    REQUIRE_FALSE(fixture.state.ownership.servicesReported.contains("seats"));

    fixture.putTable(wire::GRANT_WAY_CALL);
    REQUIRE_FALSE(fixture.upstream->applyHeartbeat(UpstreamFixture::heartbeat(2)).holdFor);
    REQUIRE_FALSE(fixture.state.ownership.servicesReported.contains("seats"));

    fixture.putTable(wire::GRANT_WAY_HEARTBEAT);
    REQUIRE(fixture.upstream->applyHeartbeat(UpstreamFixture::heartbeat(3)).holdFor);
    REQUIRE(fixture.state.ownership.servicesReported.contains("seats"));
}

// Guards against a new incarnation that is never served because a health check of the one before was refused.
TEST_CASE("a refused health check that began before a new incarnation was announced doesn't end it")
{
    UpstreamFixture fixture("127.0.0.1:1", ownProtocol());
    Announcement announcement = UpstreamFixture::heartbeat(0).announcement;
    announcement.incarnation = "i-1.2";
    // Runs between the start of the first health check and its result.
    fixture.loop->after(100ms, [&] {
        fixture.upstream->applyAnnouncement(announcement);
    });
    fixture.loop->after(150ms, [&] {
        fixture.loop->stop();
    });
    fixture.loop->run();
    CHECK(fixture.upstream->status() == UpstreamStatus::Serving);
}

// Guards against requests at an upstream that may end at any moment.
TEST_CASE("a draining upstream gets no request two seconds after the acknowledgement")
{
    UpstreamFixture fixture;
    fixture.putTable(wire::GRANT_WAY_HEARTBEAT);
    REQUIRE(fixture.takesRequest());
    Heartbeat draining = UpstreamFixture::heartbeat(1);
    draining.isDraining = true;
    fixture.upstream->applyHeartbeat(draining);
    REQUIRE_FALSE(fixture.upstream->takesWork());
    // Requests that are in flight while other agents are notified are served.
    REQUIRE(fixture.takesRequest());
    std::this_thread::sleep_for(1900ms);
    REQUIRE_FALSE(fixture.takesRequest());
}

// Guards against requests in a failure domain that may be switched off.
TEST_CASE("an upstream in a failure domain marked out gets no request five seconds later")
{
    UpstreamFixture fixture;
    fixture.putTable(wire::GRANT_WAY_HEARTBEAT);
    fixture.state.domainMarkedOutAt = BootClock::now() - 1s;
    REQUIRE(fixture.takesRequest());
    fixture.state.domainMarkedOutAt = BootClock::now() - 4900ms;
    REQUIRE_FALSE(fixture.takesRequest());
    fixture.state.domainMarkedOutAt = BootTime();
    REQUIRE(fixture.takesRequest());
}

// Guards against keys of a live upstream that are granted to another one because it resets connections while it is
// full.
TEST_CASE("an upstream that resets connections keeps its keys, and loses them once its connections are refused")
{
    test::ResettingListener listener;
    UpstreamFixture fixture(listener.address());
    fixture.putTable(wire::GRANT_WAY_HEARTBEAT);
    fixture.reportHeldKeys(listener.address());
    REQUIRE_FALSE(fixture.state.ownership.held["seats"].empty());

    fixture.sendFor(1500ms);
    CHECK(listener.resets() > 20);
    CHECK(fixture.upstream->status() == UpstreamStatus::Serving);
    CHECK_FALSE(fixture.state.ownership.held["seats"].empty());

    listener.stop();
    fixture.sendFor(300ms);
    CHECK(fixture.upstream->status() == UpstreamStatus::Crashed);
    CHECK(fixture.state.ownership.held["seats"].empty());
}

// Guards against keys of a live upstream granted to another one because a report states nothing of them.
TEST_CASE("a heartbeat that lists no keys ends no hold")
{
    UpstreamFixture fixture;
    fixture.putTable(wire::GRANT_WAY_HEARTBEAT);
    const auto read = [](std::uint64_t sequence, const std::string &lists) {
        net::HttpRequest request;
        request.method = "PUT";
        request.target = "/api/instances/i-1";
        request.body = R"({"address":"127.0.0.1:1","born":1,"info":{"service":"seats","version":"v1","zone":"z",)"
                       R"("slots":6},"status":{"state":"ready","seq":)"
                       + std::to_string(sequence) + R"(,"warmup_left_ms":0})" + lists + "}";
        return platform::readHeartbeat(request).value();
    };
    fixture.upstream->applyHeartbeat(read(1, R"(,"holds":[[0,4095,7]],"freed":[])"));
    REQUIRE_FALSE(fixture.state.ownership.held["seats"].empty());
    fixture.upstream->applyHeartbeat(read(2, ""));
    CHECK_FALSE(fixture.state.ownership.held["seats"].empty());
    fixture.upstream->applyHeartbeat(read(3, R"(,"holds":[],"freed":[])"));
    CHECK(fixture.state.ownership.held["seats"].empty());
}

// Guards against keys granted by heartbeats that another upstream gets while they are held, because the way changes.
TEST_CASE("keys granted by heartbeats stay held when the table changes the way in which keys are granted")
{
    UpstreamFixture fixture;
    fixture.putTable(wire::GRANT_WAY_HEARTBEAT);
    fixture.reportHeldKeys("127.0.0.1:1");
    fixture.putTable(wire::GRANT_WAY_CALL);
    fixture.upstream->updateCallGrants();
    CHECK_FALSE(fixture.state.ownership.held["seats"].empty());
}

// Guards against keys of a live upstream granted to another one because callers have left and it resets connections.
TEST_CASE("requests that callers gave up and a reset connection end no hold")
{
    test::ResettingListener listener;
    UpstreamFixture fixture(listener.address());
    fixture.putTable(wire::GRANT_WAY_HEARTBEAT);
    fixture.reportHeldKeys(listener.address());
    for (int round = 0; round < 10; ++round) {
        fixture.sendFor(40ms);
        fixture.upstream->cancel(fixture.lastTicket);
    }
    CHECK(listener.resets() > 5);
    CHECK_FALSE(fixture.state.ownership.held["seats"].empty());
}
