#include "PlatformMachines.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace bergamotweir::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/** Interval of heartbeats that leaves an upstream silent for longer than its keys are held. */
constexpr auto RareHeartbeats = 10s;
/** Less than the remaining time of the keys held at the start of the observation. */
constexpr auto ObservationTime = 1500ms;

/** Machines whose two upstreams have divided the keys between them. */
struct DividedMachines : PlatformMachines {
    DividedMachines()
    {
        REQUIRE(Deployment::eventually(10s, [&] {
            return this->order(1, "PUT", "/api/config", platformManifest("00000003", "00000000")).status == 200;
        }));
        this->awaitDivision();
    }

    PlatformWorker &upstream()
    {
        return *this->workers.back();
    }

    /** Starts the upstream of the first agent again. */
    void restartUpstream(const std::string &id, std::chrono::milliseconds heartbeatInterval = 150ms)
    {
        this->workers.erase(this->workers.begin());
        this->startWorker(11, id, heartbeatInterval);
        this->awaitDivision();
    }

    /** Adds a service and a route to it, and waits until the first agent has them. */
    void addService(const std::string &name)
    {
        json manifest = json::parse(platformManifest("00000005", "00000003"));
        json &services = manifest["services"]["rows"];
        services.push_back(services[0]);
        services.back()[0] = name;
        json &routes = manifest["routes"]["rows"];
        routes.push_back(routes[0]);
        routes.back()[0] = name;
        routes.back()[2] = "/" + name + "/";
        routes.back().back() = name;
        REQUIRE(this->order(1, "PUT", "/api/config", manifest.dump()).status == 200);
        REQUIRE(Deployment::eventually(5s, [&] {
            const Ask ask{.path = "/" + name + "/x",
                          .headers = {"Host: shop.example", "X-Request-Id: r", "X-Deadline-Ms: 300", "X-Shard-Key: 1"}};
            const int status = Deployment::askAt(this->ip(11) + ":8629", ask).status;
            return status == 503 || status == 504;
        }));
    }

    void awaitDivision()
    {
        REQUIRE(Deployment::eventually(10s, [&] {
            return keysHeld(*this->workers[0]) > 20000 && keysHeld(*this->workers[1]) > 20000;
        }));
    }

    /**
     * @return a complete report of a process at the first agent's upstream address; it holds no keys and is draining,
     * so that keys taken for its sake go to the other agent's upstream
     */
    json report(std::chrono::milliseconds startedAt) const
    {
        return {{"address", this->ip(11) + ":8628"},
                {"info", {{"service", "seats"}, {"version", "v1"}, {"zone", "z11"}, {"slots", 8}}},
                {"status", {{"state", "draining"}, {"seq", 900}, {"warmup_left_ms", 0}}},
                {"born", startedAt.count()},
                {"holds", json::array()},
                {"freed", json::array()}};
    }

    Reply sendToAgent(const std::string &method, const std::string &id, const std::string &body = {}) const
    {
        return Deployment::askAt(this->ip(11) + ":8620",
                                 {.method = method, .path = "/api/instances/" + id, .body = body});
    }

    /** @return whether one of the upstreams gets the other's keys within the observation time */
    bool keysMove()
    {
        return Deployment::eventually(ObservationTime, [&] {
            return keysHeld(*this->workers[0]) > 60000 || keysHeld(*this->workers[1]) > 60000;
        });
    }
};

} // namespace

// Guards against keys of a live upstream granted to another one after a late report of an earlier process there.
TEST_CASE("platform process: a late report of an earlier process takes no keys after a restart of the agent",
          "[process]")
{
    DividedMachines machines;
    machines.restartUpstream("w11-restarted", RareHeartbeats);
    Deployment::kill(machines.agents[0]);
    Deployment::start(machines.agents[0]);
    REQUIRE(machines.served(12, static_cast<unsigned>(machines.upstream().held().front()[0])));
    machines.sendToAgent("PUT", "w11", machines.report(machines.upstream().startedAt() - 1min).dump());
    CHECK_FALSE(machines.keysMove());
}

// Guards against keys of a live upstream granted to another one after a report that contradicts what it is.
TEST_CASE("platform process: a report that states another service for the same process takes no keys", "[process]")
{
    DividedMachines machines;
    machines.restartUpstream("w11-restarted", RareHeartbeats);
    machines.addService("rooms");
    json report = machines.report(machines.upstream().startedAt());
    report["info"]["service"] = "rooms";
    CHECK(machines.sendToAgent("PUT", "w11-restarted", report.dump()).status == 400);
    CHECK_FALSE(machines.keysMove());
}

// Guards against keys of a live upstream granted to another one after a report of a process that isn't there.
TEST_CASE("platform process: a report of an instance that doesn't answer at its address takes no keys", "[process]")
{
    DividedMachines machines;
    machines.restartUpstream("w11-restarted", RareHeartbeats);
    CHECK(machines.sendToAgent("PUT", "i-foreign", machines.report(4000000000s).dump()).status == 400);
    CHECK_FALSE(machines.keysMove());
}

// Guards against an upstream that is never served again because an earlier process of its id has deregistered late.
TEST_CASE("platform process: a late deregistration of an earlier process leaves the new one of its id in service",
          "[process]")
{
    DividedMachines machines;
    machines.restartUpstream("w11");
    REQUIRE(machines.sendToAgent("DELETE", "w11").status == 200);
    CHECK_FALSE(Deployment::eventually(6s, [&] {
        return keysHeld(machines.upstream()) < 20000;
    }));
}

// Guards against requests at an upstream that has deregistered and is about to exit.
TEST_CASE("platform process: an upstream that has deregistered gives its keys to the other one", "[process]")
{
    DividedMachines machines;
    REQUIRE(machines.sendToAgent("DELETE", "w11").status == 200);
    CHECK(Deployment::eventually(5s, [&] {
        return keysHeld(*machines.workers[1]) == 65536;
    }));
}
