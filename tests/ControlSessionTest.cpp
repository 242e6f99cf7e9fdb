#include "rpc/ControlSession.h"
#include "FakeReplica.h"
#include "LoopbackProxy.h"
#include "SilentListener.h"
#include "rpc/ClaimClient.h"
#include "rpc/OperatorClient.h"

#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <optional>

using namespace bergamotweir;
using test::FakeReplica;
using namespace std::chrono_literals;

namespace {

wire::Hello someHello()
{
    wire::Hello hello;
    hello.set_agent("agent-1");
    return hello;
}

/** @return callbacks that stop the loop once a session is open */
rpc::ControlSessionEvents stopWhenOpen(loop::EventLoop &loop)
{
    rpc::ControlSessionEvents events;
    events.hello = someHello;
    events.opened = [&loop](rpc::SessionId) {
        loop.stop();
    };
    events.message = [](rpc::SessionId, const wire::ControlMessage &) {};
    events.closed = [](rpc::SessionId) {};
    return events;
}

/** Stops the loop after a time limit, so that a fault does not make the test hang. */
void stopAfter(loop::EventLoop &loop, std::chrono::seconds limit)
{
    loop.after(limit, [&loop] {
        loop.stop();
    });
}

/** Maximum time without a session for an agent that can reach the control group. */
constexpr auto MaxTimeWithoutSession = 3s;
constexpr auto TestLimit = 10s;

/**
 * Opens a session, stalls the connections of all proxies, and waits for the next session.
 * @return the time without a session; TestLimit if there is no next session
 */
std::chrono::nanoseconds timeWithoutSession(const std::vector<std::string> &addresses,
                                            const std::vector<test::LoopbackProxy *> &proxies)
{
    auto loop = loop::EventLoop::create().value();
    int opened = 0;
    std::chrono::steady_clock::time_point stalledAt;
    std::chrono::nanoseconds without = TestLimit;
    rpc::ControlSessionEvents events;
    events.hello = someHello;
    events.opened = [&](rpc::SessionId) {
        if (++opened == 1) {
            for (test::LoopbackProxy *proxy : proxies) {
                proxy->stallConnections();
            }
            stalledAt = std::chrono::steady_clock::now();
        } else {
            without = std::chrono::steady_clock::now() - stalledAt;
            loop->stop();
        }
    };
    events.message = [](rpc::SessionId, const wire::ControlMessage &) {};
    events.closed = [](rpc::SessionId) {};
    const rpc::ControlSession session(*loop, addresses, events, {.silenceTimeout = 1500ms, .seed = 7});
    stopAfter(*loop, TestLimit);
    loop->run();
    return without;
}

} // namespace

TEST_CASE("an agent follows a redirect to the leader and renews there")
{
    FakeReplica leader;
    FakeReplica follower;
    follower.leader = leader.address();
    auto loop = loop::EventLoop::create().value();
    std::uint64_t renewed = 0;
    std::unique_ptr<rpc::ControlSession> session;
    rpc::ControlSessionEvents events;
    events.hello = someHello;
    events.opened = [&](rpc::SessionId) {
        wire::AgentMessage renew;
        renew.mutable_renew()->set_sequence(7);
        session->send(renew);
    };
    events.message = [&](rpc::SessionId, const wire::ControlMessage &message) {
        renewed = message.renewed().sequence();
        if (renewed == 7) {
            loop->stop();
        }
    };
    events.closed = [](rpc::SessionId) {};
    session = std::make_unique<rpc::ControlSession>(*loop, std::vector{follower.address()}, events);
    stopAfter(*loop, 10s);
    loop->run();
    REQUIRE(renewed == 7);
    REQUIRE(leader.sessions == 1);
}

// Guards against keys that are not served because an agent waits for a frozen leader whose connection stays open.
TEST_CASE("an agent disconnects from a frozen replica and does not follow a redirect back to it")
{
    FakeReplica frozen;
    frozen.silent = true;
    FakeReplica follower;
    follower.leader = frozen.address();
    FakeReplica leader;
    auto loop = loop::EventLoop::create().value();
    bool opened = false;
    rpc::ControlSessionEvents events;
    events.hello = someHello;
    events.opened = [&](rpc::SessionId) {
        opened = true;
        loop->stop();
    };
    events.message = [](rpc::SessionId, const wire::ControlMessage &) {};
    events.closed = [](rpc::SessionId) {};
    const std::vector<std::string> addresses{frozen.address(), follower.address(), leader.address()};
    const rpc::ControlSession session(*loop, addresses, events);
    stopAfter(*loop, 10s);
    loop->run();
    REQUIRE(opened);
    REQUIRE(frozen.sessions == 1);
}

TEST_CASE("a closed session is reported once and opened again")
{
    FakeReplica leader;
    leader.closesAfterAnswer = true;
    auto loop = loop::EventLoop::create().value();
    std::vector<rpc::SessionId> opened;
    std::vector<rpc::SessionId> closed;
    rpc::ControlSessionEvents events;
    events.hello = someHello;
    events.opened = [&](rpc::SessionId session) {
        opened.push_back(session);
    };
    events.message = [](rpc::SessionId, const wire::ControlMessage &) {};
    events.closed = [&](rpc::SessionId session) {
        closed.push_back(session);
        if (closed.size() == 3) {
            loop->stop();
        }
    };
    const rpc::ControlSession session(*loop, {leader.address()}, events);
    stopAfter(*loop, 10s);
    loop->run();
    REQUIRE(closed.size() == 3);
    REQUIRE(closed == opened);
}

TEST_CASE("a claim reaches the leader, and is unavailable at its timeout if there is no leader")
{
    FakeReplica leader;
    FakeReplica follower;
    follower.leader = leader.address();
    auto loop = loop::EventLoop::create().value();
    rpc::ClaimClient client(*loop, {follower.address(), leader.address()});
    wire::ClaimVerdict first = wire::CLAIM_VERDICT_UNKNOWN;
    wire::ClaimVerdict second = wire::CLAIM_VERDICT_UNKNOWN;
    client.claim({}, 5000ms, [&](const wire::ClaimReply &reply) {
        first = reply.verdict();
        leader.leader = follower.address();
        client.claim({}, 100ms, [&](const wire::ClaimReply &later) {
            second = later.verdict();
            loop->stop();
        });
    });
    stopAfter(*loop, 10s);
    loop->run();
    REQUIRE(first == wire::CLAIM_VERDICT_GRANTED);
    REQUIRE(second == wire::CLAIM_VERDICT_UNAVAILABLE);
    REQUIRE(follower.claims >= 2);
}

// Guards against keyed requests refused because the connection for claims has stalled without a reset.
TEST_CASE("a claim is granted over a new connection when the existing one has stalled")
{
    FakeReplica leader;
    test::LoopbackProxy proxy(leader.address());
    auto loop = loop::EventLoop::create().value();
    rpc::ClaimClient client(*loop, {proxy.address()});
    wire::ClaimVerdict first = wire::CLAIM_VERDICT_UNKNOWN;
    wire::ClaimVerdict second = wire::CLAIM_VERDICT_UNKNOWN;
    client.claim({}, 5000ms, [&](const wire::ClaimReply &reply) {
        first = reply.verdict();
        proxy.stallConnections();
        client.claim({}, 2000ms, [&](const wire::ClaimReply &later) {
            second = later.verdict();
            loop->stop();
        });
    });
    stopAfter(*loop, 10s);
    loop->run();
    CHECK(first == wire::CLAIM_VERDICT_GRANTED);
    CHECK(second == wire::CLAIM_VERDICT_GRANTED);
}

// Guards against an operator who mistakes a change whose answer was lost for a failed one, and sends another.
TEST_CASE("an operator call distinguishes an unknown outcome from a request that was never sent")
{
    FakeReplica leader;
    FakeReplica follower;
    follower.leader = leader.address();
    REQUIRE(rpc::callOperator({follower.address()}, {}, 5000ms).status() == wire::OPERATOR_STATUS_DONE);
    leader.silent = true;
    REQUIRE(rpc::callOperator({leader.address()}, {}, 300ms).status() == wire::OPERATOR_STATUS_UNKNOWN);
    REQUIRE(rpc::callOperator({"127.0.0.1:1"}, {}, 300ms).status() == wire::OPERATOR_STATUS_REFUSED);
}

// Guards against an agent that uses an outdated table for seconds while it waits for one dead replica after another.
TEST_CASE("an agent with two dead replicas finds the leader well before the silence time-out of an open session")
{
    FakeReplica first;
    FakeReplica second;
    first.silent = true;
    second.silent = true;
    FakeReplica leader;
    auto loop = loop::EventLoop::create().value();
    bool opened = false;
    rpc::ControlSessionEvents events;
    events.hello = someHello;
    events.opened = [&](rpc::SessionId) {
        opened = true;
        loop->stop();
    };
    events.message = [](rpc::SessionId, const wire::ControlMessage &) {};
    events.closed = [](rpc::SessionId) {};
    rpc::ControlSession session(
        *loop, {first.address(), second.address()}, events, {.silenceTimeout = 5s, .openTimeout = {200ms, 800ms}});
    session.addAddresses({leader.address(), first.address()});
    const auto begun = std::chrono::steady_clock::now();
    stopAfter(*loop, 10s);
    loop->run();
    REQUIRE(opened);
    REQUIRE(std::chrono::steady_clock::now() - begun < 1500ms);
}

// Guards against agents that disconnect from a busy leader before it has sent the full state, and request it again.
TEST_CASE("an agent waits for a full state that takes longer than the silence time-out")
{
    FakeReplica leader;
    leader.stateDelay = 2500ms;
    auto loop = loop::EventLoop::create().value();
    const rpc::ControlSession session(
        *loop, {leader.address()}, stopWhenOpen(*loop), {.silenceTimeout = 250ms, .openTimeout = {100ms, 100ms}});
    stopAfter(*loop, 10s);
    loop->run();
    CHECK(session.isOpen());
    CHECK(leader.sessions == 1);
}

// Guards against an agent that waits for ever for a leader that is busy or hangs within a round.
TEST_CASE("an agent leaves a replica that repeats its acceptance but never sends the full state")
{
    FakeReplica stuck;
    stuck.stateDelay = 5s;
    auto loop = loop::EventLoop::create().value();
    rpc::ControlSessionEvents events;
    events.hello = someHello;
    events.opened = [](rpc::SessionId) {};
    events.message = [](rpc::SessionId, const wire::ControlMessage &) {};
    events.closed = [](rpc::SessionId) {};
    const rpc::ControlSession session(
        *loop, {stuck.address()}, events, {.silenceTimeout = 250ms, .stateTimeout = 800ms});
    stopAfter(*loop, 2s);
    loop->run();
    CHECK_FALSE(session.isOpen());
    CHECK(stuck.sessions >= 2);
}

// Guards against an agent that uses an outdated table because the connection to the leader stalled without a reset.
TEST_CASE("an agent whose connection to the leader has stalled opens a session over a new one")
{
    FakeReplica leader;
    test::LoopbackProxy proxy(leader.address());
    FakeReplica follower;
    follower.leader = proxy.address();
    const auto without = timeWithoutSession({proxy.address(), follower.address()}, {&proxy});
    CHECK(without < MaxTimeWithoutSession);
}

// Guards against an agent behind a congested link that never gets a connection to control.
TEST_CASE("an agent that needs 300 ms to set up a connection opens a session")
{
    FakeReplica leader;
    test::LoopbackProxy proxy(leader.address(), 300ms);
    FakeReplica follower;
    test::LoopbackProxy followerProxy(follower.address(), 300ms);
    follower.leader = proxy.address();
    auto loop = loop::EventLoop::create().value();
    bool opened = false;
    rpc::ControlSessionEvents events;
    events.hello = someHello;
    events.opened = [&](rpc::SessionId) {
        opened = true;
        loop->stop();
    };
    events.message = [](rpc::SessionId, const wire::ControlMessage &) {};
    events.closed = [](rpc::SessionId) {};
    const auto begun = std::chrono::steady_clock::now();
    const rpc::ControlSession session(
        *loop, {followerProxy.address(), proxy.address()}, events, {.silenceTimeout = 1500ms, .seed = 7});
    stopAfter(*loop, TestLimit);
    loop->run();
    CHECK(opened);
    CHECK(std::chrono::steady_clock::now() - begun < MaxTimeWithoutSession);
}

// Guards against an agent that waits for each dead replica in turn before it asks the leader.
TEST_CASE("an agent with three dead replicas out of five opens a session at once")
{
    FakeReplica leader;
    FakeReplica follower;
    follower.leader = leader.address();
    // They accept connections and never send anything, like a frozen VM.
    std::array<test::SilentListener, 3> dead;
    auto loop = loop::EventLoop::create().value();
    bool opened = false;
    rpc::ControlSessionEvents events;
    events.hello = someHello;
    events.opened = [&](rpc::SessionId) {
        opened = true;
        loop->stop();
    };
    events.message = [](rpc::SessionId, const wire::ControlMessage &) {};
    events.closed = [](rpc::SessionId) {};
    const auto begun = std::chrono::steady_clock::now();
    const rpc::ControlSession session(
        *loop,
        {dead[0].address(), dead[1].address(), dead[2].address(), follower.address(), leader.address()},
        events,
        {.silenceTimeout = 1500ms, .seed = 7});
    stopAfter(*loop, TestLimit);
    loop->run();
    CHECK(opened);
    CHECK(std::chrono::steady_clock::now() - begun < 500ms);
}

// Guards against keyed requests that are refused at an agent behind a congested link.
TEST_CASE("a claim over connections that need 300 ms to set up is granted")
{
    FakeReplica leader;
    test::LoopbackProxy proxy(leader.address(), 300ms);
    auto loop = loop::EventLoop::create().value();
    rpc::ClaimClient client(*loop, {proxy.address()});
    wire::ClaimVerdict verdict = wire::CLAIM_VERDICT_UNKNOWN;
    client.claim({}, 5000ms, [&](const wire::ClaimReply &reply) {
        verdict = reply.verdict();
        loop->stop();
    });
    stopAfter(*loop, TestLimit);
    loop->run();
    CHECK(verdict == wire::CLAIM_VERDICT_GRANTED);
}

// Guards against an agent that remains without a session when the connections to all replicas stalled in a partition.
TEST_CASE("an agent whose connections to all replicas have stalled opens a session over new ones")
{
    FakeReplica leader;
    test::LoopbackProxy leaderProxy(leader.address());
    std::array<FakeReplica, 4> followers;
    std::vector<std::unique_ptr<test::LoopbackProxy>> followerProxies;
    std::vector<test::LoopbackProxy *> proxies{&leaderProxy};
    std::vector<std::string> addresses;
    for (FakeReplica &follower : followers) {
        followerProxies.push_back(std::make_unique<test::LoopbackProxy>(follower.address()));
        proxies.push_back(followerProxies.back().get());
        addresses.push_back(followerProxies.back()->address());
        // The agent disconnects from a replica that names itself, so that each one is asked once.
        follower.leader = addresses.back();
    }
    addresses.push_back(leaderProxy.address());
    CHECK(timeWithoutSession(addresses, proxies) < MaxTimeWithoutSession);
}

// Guards against a connection for each request for a session: without a leader, all agents keep asking all replicas.
TEST_CASE("an agent asks a replica that names no leader again on the same connection")
{
    FakeReplica follower;
    // A replica that names itself can't be followed.
    follower.leader = follower.address();
    auto loop = loop::EventLoop::create().value();
    rpc::ControlSessionEvents events;
    events.hello = someHello;
    events.opened = [](rpc::SessionId) {};
    events.message = [](rpc::SessionId, const wire::ControlMessage &) {};
    events.closed = [](rpc::SessionId) {};
    const rpc::ControlSession session(*loop, {follower.address()}, events);
    const loop::TimerId poll = loop->every(5ms, [&] {
        if (follower.sessions >= 5) {
            loop->stop();
        }
    });
    stopAfter(*loop, TestLimit);
    loop->run();
    loop->cancel(poll);
    CHECK(follower.sessions >= 5);
    CHECK(follower.connections == 1);
}

// Guards against an agent that acts on outdated routes while it waits for a leader that froze after it had accepted.
TEST_CASE("an agent leaves a replica that accepts the session and falls silent, however many searches have failed")
{
    std::array<FakeReplica, 3> followers;
    for (FakeReplica &follower : followers) {
        follower.leader = follower.address();
    }
    FakeReplica frozen;
    frozen.silentAfterAcceptance = true;
    const FakeReplica leader;
    auto loop = loop::EventLoop::create().value();
    rpc::ControlSession session(*loop,
                                {followers[0].address(), followers[1].address(), followers[2].address()},
                                stopWhenOpen(*loop),
                                {.silenceTimeout = 300ms, .seed = 7});
    loop->after(1s, [&] {
        session.addAddresses({frozen.address()});
    });
    std::optional<std::chrono::steady_clock::time_point> acceptedAt;
    const loop::TimerId poll = loop->every(5ms, [&] {
        if (!acceptedAt && frozen.sessions > 0) {
            acceptedAt = std::chrono::steady_clock::now();
            session.addAddresses({leader.address()});
        }
    });
    stopAfter(*loop, TestLimit);
    loop->run();
    loop->cancel(poll);
    REQUIRE(acceptedAt);
    CHECK(session.isOpen());
    CHECK(std::chrono::steady_clock::now() - *acceptedAt < 1s);
}

// Guards against an agent behind a slow link that requests the full state again before it has arrived.
TEST_CASE("an agent waits for a full state whose bytes arrive, for longer than the silence time-out")
{
    FakeReplica leader;
    leader.stateSendTime = 1500ms;
    auto loop = loop::EventLoop::create().value();
    const rpc::ControlSession session(
        *loop, {leader.address()}, stopWhenOpen(*loop), {.silenceTimeout = 250ms, .seed = 7});
    stopAfter(*loop, TestLimit);
    loop->run();
    CHECK(session.isOpen());
    CHECK(leader.sessions == 1);
}
