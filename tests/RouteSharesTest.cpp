#include "agent/RouteShares.h"
#include "agent/Gate.h"

#include <catch2/catch.hpp>

#include <queue>

using namespace bergamotweir;
using namespace bergamotweir::agent;
using namespace std::chrono_literals;

namespace {

constexpr RouteTag MainRoute = 1;
constexpr RouteTag MinorRoute = 2;
constexpr unsigned Slots = 18;
constexpr std::chrono::milliseconds Work{240};
constexpr int Seconds = 20;

struct Counts {
    unsigned arrived = 0;
    unsigned served = 0;

    double share() const
    {
        return static_cast<double>(this->served) / this->arrived;
    }
};

struct Played {
    Counts main;
    Counts minor;
};

/**
 * Plays a gate with twice the requests that its upstream can serve, and a request of another route every 500 ms, which
 * may wait less long.
 */
Played play(bool usesShares)
{
    BootTime now{1000s};
    Gate gate = makeGate(GateSettingsBuilder().ceiling(Slots).connections(Slots).adaptive(false).build().value(), now);
    gate.serviceTime = Work;
    gate.idleConnections = Slots;
    RouteShares shares;
    Played played;
    std::map<TicketId, RouteTag> waiting;
    std::queue<std::pair<BootTime, RouteTag>> running;
    TicketId lastTicket = 0;
    const auto start = [&](RouteTag route) {
        ++(route == MainRoute ? played.main : played.minor).served;
        running.emplace(now + Work, route);
    };
    const auto arrive = [&](RouteTag route) {
        ++(route == MainRoute ? played.main : played.minor).arrived;
        countRequest(shares, route, now);
        const TimeTargets targets{.targetLatency = 800ms, .timeout = route == MainRoute ? 2500ms : 1000ms};
        Ticket ticket{++lastTicket, now + targets.timeout, queuePriorityOf(targets, now)};
        ticket.queuePriority.isMinorRoute = usesShares && isMinorRoute(shares, route, now);
        const Admission admission = requestAdmission(gate, ticket, now);
        if (admission == Admission::Admitted) {
            start(route);
        } else if (admission == Admission::Queued) {
            waiting[ticket.id] = route;
        }
    };
    for (int step = 0; step < Seconds * 1000; ++step) {
        now += 1ms;
        while (!running.empty() && running.front().first <= now) {
            running.pop();
            finish(gate, WorkOutcome::Answered, Work, now);
        }
        for (const TicketId admitted : processQueue(gate, now).admitted) {
            start(waiting.at(admitted));
        }
        // 18 slots serve 75 requests a second.
        if (step % 20 < 3) {
            arrive(MainRoute);
        }
        if (step % 500 == 0) {
            arrive(MinorRoute);
        }
    }
    return played;
}

} // namespace

// Guards against routes that are hardly served under overload because their requests may wait less long than those that
// fill the queue, such as routes added a short time ago.
TEST_CASE("route shares: under overload a route with few requests is served, at little cost to the others")
{
    const Played without = play(false);
    const Played with = play(true);
    WARN("served of the main route " << without.main.share() << ", with shares " << with.main.share()
                                     << "; of the minor route " << without.minor.share() << ", with shares "
                                     << with.minor.share());
    CHECK(without.minor.share() < 0.25 * without.main.share());
    CHECK(with.minor.share() > with.main.share());
    CHECK(with.main.share() > 0.93 * without.main.share());
}

TEST_CASE("route shares: a route counts as minor by its part of the requests of the last seconds")
{
    RouteShares shares;
    BootTime now{1000s};
    for (int request = 0; request < 200; ++request) {
        now += 10ms;
        countRequest(shares, MainRoute, now);
    }
    CHECK_FALSE(isMinorRoute(shares, MainRoute, now));
    countRequest(shares, MinorRoute, now);
    CHECK(isMinorRoute(shares, MinorRoute, now));
    CHECK(isMinorRoute(shares, 3, now));
    CHECK_FALSE(isMinorRoute(shares, 0, now));
    for (int request = 0; request < 20; ++request) {
        countRequest(shares, MinorRoute, now);
    }
    CHECK_FALSE(isMinorRoute(shares, MinorRoute, now));
    for (int request = 0; request < 2000; ++request) {
        now += 10ms;
        countRequest(shares, MainRoute, now);
    }
    CHECK(isMinorRoute(shares, MinorRoute, now));
}

// Guards against memory that grows with the routes that callers use.
TEST_CASE("route shares: the number of tracked routes is bounded")
{
    RouteShares shares;
    for (RouteTag route = 1; route < 2000; ++route) {
        countRequest(shares, route, BootTime(1000s));
    }
    CHECK(shares.routes.size() <= RouteShares::MaxRoutes);
    countRequest(shares, 3000, BootTime(1030s));
    CHECK(shares.routes.contains(3000));
}
