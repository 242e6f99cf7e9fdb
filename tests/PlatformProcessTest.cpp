#include "PlatformMachines.h"
#include "RawConnection.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>
#include <thread>

using namespace bergamotweir::test;
using namespace std::chrono_literals;
using nlohmann::json;

// Runs the complete path with the settings files, heartbeats, manifests and header fields of the users' machines.
TEST_CASE("platform process: a manifest comes into force, every key has one owner, and keys of a killed agent are "
          "served again",
          "[process]")
{
    PlatformMachines machines;
    REQUIRE(Deployment::eventually(10s, [&] {
        return machines.order(1, "PUT", "/api/config", platformManifest("00000003", "00000000")).status == 200;
    }));
    REQUIRE(machines.order(2, "PUT", "/api/config", platformManifest("00000003", "00000000")).status == 200);
    REQUIRE(machines.order(3, "PUT", "/api/config", platformManifest("00000004", "00000002")).status == 412);
    REQUIRE(machines.order(1, "PUT", "/api/config", platformManifest("00000002", "00000003")).status == 400);
    const json read = json::parse(machines.order(2, "GET", "/api/config").body);
    REQUIRE(read["version"] == "00000003");
    REQUIRE(read["routes"] == json::parse(platformManifest("1", "0"))["routes"]);
    REQUIRE(machines.served(11, 0));
    REQUIRE(Deployment::askAt(machines.ip(11) + ":8625", {.path = "/api/readiness"}).status == 200);

    // The first upstream got all keys; they are rebalanced after the delay for both to settle.
    REQUIRE(Deployment::eventually(10s, [&] {
        return keysHeld(*machines.workers[0]) > 20000 && keysHeld(*machines.workers[1]) > 20000;
    }));
    for (unsigned key = 0; key < 65536; key += 3001) {
        REQUIRE(machines.served(11 + key % 2, key));
        const Reply first = machines.ask(11, "a" + std::to_string(key), key, "POST");
        const Reply second = machines.ask(12, "b" + std::to_string(key), key, "POST");
        REQUIRE(first.status == 200);
        REQUIRE(first.body == second.body);
        REQUIRE(first.body.find("POST /book/x?y=1 body from seats") != std::string::npos);
        REQUIRE(second.headers.at("x-request-id") == "b" + std::to_string(key));
    }
    REQUIRE(machines.workers[0]->ran > 0);
    REQUIRE(machines.workers[1]->ran > 0);
    std::set<std::uint64_t> starts;
    for (const auto &worker : machines.workers) {
        for (const auto &row : worker->held()) {
            REQUIRE(starts.insert(row[0]).second);
        }
    }

    Deployment::kill(machines.agents[0]);
    Deployment::start(machines.agents[0]);
    const auto startedAt = std::chrono::steady_clock::now();
    for (unsigned key = 0; key < 65536; key += 16001) {
        REQUIRE(machines.served(12, key));
    }
    REQUIRE(std::chrono::steady_clock::now() - startedAt < 3s);
    Deployment::signal(machines.agents[0], SIGTERM);
    REQUIRE(Deployment::waitForExit(machines.agents[0], 3s) == 0);
}

// Guards against keys of a live upstream that are granted to another one after a report that names no worker to use.
TEST_CASE("platform process: a report of an unknown service is refused and takes no keys from the upstream there",
          "[process]")
{
    PlatformMachines machines;
    REQUIRE(Deployment::eventually(10s, [&] {
        return machines.order(1, "PUT", "/api/config", platformManifest("00000003", "00000000")).status == 200;
    }));
    REQUIRE(Deployment::eventually(10s, [&] {
        return keysHeld(*machines.workers[0]) > 20000 && keysHeld(*machines.workers[1]) > 20000;
    }));
    const json report = {{"address", machines.ip(11) + ":8628"},
                         {"info", {{"service", "nosuch7"}, {"version", "v1"}, {"zone", "z11"}, {"slots", 12}}},
                         {"status", {{"state", "ready"}, {"seq", 1}, {"warmup_left_ms", 0}}},
                         {"born", 4000000000000}};
    const Reply reply = Deployment::askAt(machines.ip(11) + ":8620",
                                          {.method = "PUT", .path = "/api/instances/i-foreign", .body = report.dump()});
    CHECK(reply.status == 400);
    CHECK_FALSE(Deployment::eventually(3s, [&] {
        return keysHeld(*machines.workers[0]) == 0 || keysHeld(*machines.workers[1]) > 60000;
    }));
}

// Guards against a ready answer that is cut off by a stop because an earlier request of its connection is unfinished.
TEST_CASE("platform process: a stop delivers an answer that is ready behind an unfinished request", "[process]")
{
    PlatformMachines machines;
    std::string manifest = platformManifest("00000003", "00000000");
    manifest.replace(manifest.find("non_idempotent"), std::string("non_idempotent").size(), "idempotent");
    manifest.replace(manifest.find("1200"), std::string("1200").size(), "9000");
    REQUIRE(Deployment::eventually(10s, [&] {
        return machines.order(1, "PUT", "/api/config", manifest).status == 200;
    }));
    REQUIRE(machines.served(11, 0));
    const auto requestWithId = [](const std::string &id) {
        return "GET /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
               + "\r\nX-Deadline-Ms: 9000\r\nX-Shard-Key: 0\r\n\r\n";
    };
    const auto setWorkTime = [&](std::chrono::milliseconds time) {
        for (const auto &worker : machines.workers) {
            worker->workTime = time;
        }
    };
    const auto arrivals = [&] {
        return machines.workers[0]->arrivals().size() + machines.workers[1]->arrivals().size();
    };
    const std::size_t before = arrivals();
    RawConnection connection(machines.ip(11), 8629);
    setWorkTime(7s);
    connection.send(requestWithId("slow"));
    REQUIRE(Deployment::eventually(2s, [&] {
        return arrivals() == before + 1;
    }));
    setWorkTime(0ms);
    connection.send(requestWithId("fast"));
    REQUIRE(Deployment::eventually(2s, [&] {
        return arrivals() == before + 2;
    }));
    Deployment::signal(machines.agents[0], SIGTERM);
    const std::string received = connection.receiveUntilClosed(5s);
    CHECK(received.starts_with("HTTP/1.1 504"));
    CHECK(received.find("HTTP/1.1 200") != std::string::npos);
    CHECK(Deployment::waitForExit(machines.agents[0], 1s) == 0);
}

// Guards against keys unserved for a whole heartbeat interval after the restart of an upstream that rarely sends one.
TEST_CASE("platform process: a restarted upstream gets its keys with the answer to its first heartbeat", "[process]")
{
    PlatformMachines machines;
    REQUIRE(Deployment::eventually(10s, [&] {
        return machines.order(1, "PUT", "/api/config", platformManifest("00000003", "00000000")).status == 200;
    }));
    REQUIRE(Deployment::eventually(10s, [&] {
        return keysHeld(*machines.workers[0]) > 20000 && keysHeld(*machines.workers[1]) > 20000;
    }));
    machines.workers.erase(machines.workers.begin());
    machines.startWorker(11, "w11-restarted", 10s);
    CHECK(Deployment::eventually(3s, [&] {
        return keysHeld(*machines.workers.back()) > 20000;
    }));
}

// Guards against keys unserved until the upstream's next heartbeat after the restart of the agent beside it.
TEST_CASE("platform process: a restarted agent serves the keys of its upstream before the next heartbeat", "[process]")
{
    PlatformMachines machines;
    REQUIRE(Deployment::eventually(10s, [&] {
        return machines.order(1, "PUT", "/api/config", platformManifest("00000003", "00000000")).status == 200;
    }));
    REQUIRE(Deployment::eventually(10s, [&] {
        return keysHeld(*machines.workers[0]) > 20000 && keysHeld(*machines.workers[1]) > 20000;
    }));
    machines.workers.erase(machines.workers.begin());
    machines.startWorker(11, "w11-restarted", 10s);
    PlatformWorker &worker = *machines.workers.back();
    REQUIRE(Deployment::eventually(3s, [&] {
        return keysHeld(worker) > 20000;
    }));
    const auto key = static_cast<unsigned>(worker.held().front()[0]);
    REQUIRE(machines.served(12, key));
    Deployment::kill(machines.agents[0]);
    Deployment::start(machines.agents[0]);
    const auto startedAt = std::chrono::steady_clock::now();
    const unsigned ranBefore = worker.ran;
    REQUIRE(machines.served(12, key));
    CHECK(std::chrono::steady_clock::now() - startedAt < 2500ms);
    CHECK(worker.ran > ranBefore);
}

/*
 * Keys are granted to upstreams by calls. Guards against two holders of a key and against unserved keys: keys move
 * during rebalancing, and an agent is killed while its upstream still holds its grants.
 */
TEST_CASE("platform process: keys granted by calls are served, moved and held by one upstream at a time", "[process]")
{
    PlatformMachines machines(true);
    REQUIRE(Deployment::eventually(10s, [&] {
        return machines.order(1, "PUT", "/api/config", platformManifest("00000003", "00000000", "\"call\"")).status
               == 200;
    }));
    REQUIRE(machines.served(11, 0));
    REQUIRE(Deployment::eventually(10s, [&] {
        return keysHeld(*machines.workers[0]) > 20000 && keysHeld(*machines.workers[1]) > 20000;
    }));
    const auto checkHolders = [&] {
        const auto first = machines.workers[0]->held();
        for (const auto &other : machines.workers[1]->held()) {
            for (const auto &row : first) {
                REQUIRE((row[1] < other[0] || other[1] < row[0]));
            }
        }
    };
    Deployment::kill(machines.agents[0]);
    checkHolders();
    Deployment::start(machines.agents[0]);
    const auto startedAt = std::chrono::steady_clock::now();
    for (unsigned key = 0; key < 65536; key += 3001) {
        REQUIRE(machines.served(12, key));
        checkHolders();
    }
    REQUIRE(std::chrono::steady_clock::now() - startedAt < 5s);
    const std::string body(300000, 'u');
    const Reply reply = Deployment::askAt(
        machines.ip(11) + ":8629",
        {.method = "POST",
         .path = "/book/x",
         .headers = {"Host: shop.example", "X-Request-Id: large", "X-Deadline-Ms: 1500", "X-Shard-Key: 60000"},
         .body = body});
    REQUIRE(reply.status == 200);
    REQUIRE(reply.body.find(body) != std::string::npos);
}

// A control VM restarts at the same address with an empty disk and must rejoin without "member add".
TEST_CASE("platform process: a control VM that lost its disk rejoins its group automatically", "[process]")
{
    PlatformMachines machines;
    REQUIRE(Deployment::eventually(10s, [&] {
        return machines.order(1, "PUT", "/api/config", platformManifest("00000003", "00000000")).status == 200;
    }));
    Deployment::kill(machines.controls[1]);
    std::filesystem::remove_all(machines.folder + "/data2");
    machines.controls[1] = machines.process("control", 2, machines.controlFile(2, false));
    Deployment::start(machines.controls[1]);
    const std::string logFile = machines.folder + "/control2.log";
    REQUIRE(Deployment::eventually(10s, [&] {
        return machines.order(2, "GET", "/api/config").status == 200;
    }));
    // With another one of the three VMs stopped, the group has a quorum only if the rejoined one votes.
    REQUIRE(Deployment::eventually(10s, [&] {
        std::ifstream log(machines.folder + "/control1.log");
        std::ifstream other(machines.folder + "/control3.log");
        const std::string text{std::istreambuf_iterator<char>(log), {}};
        const std::string more{std::istreambuf_iterator<char>(other), {}};
        return (text + more).find("CHANGE_REMOVE") != std::string::npos
               && (text + more).find("CHANGE_PROMOTE") != std::string::npos;
    }));
    Deployment::kill(machines.controls[2]);
    REQUIRE(Deployment::eventually(10s, [&] {
        return machines.order(1, "PUT", "/api/config", platformManifest("00000005", "00000003")).status == 200
               || machines.order(2, "PUT", "/api/config", platformManifest("00000005", "00000003")).status == 200;
    }));
}

namespace {

/** @return platformManifest() with two workspaces */
std::string workspaceManifest(const std::string &version, const std::string &base, const json &northKeys)
{
    json fullManifest = json::parse(platformManifest(version, base));
    fullManifest["tenants"]["columns"] = json::array({"name", "api_keys"});
    fullManifest["tenants"]["rows"] =
        json::array({json::array({"north", northKeys}), json::array({"south", json::array({"secret-south-1"})})});
    return fullManifest.dump();
}

int statusFor(const PlatformMachines &machines, int number, const std::string &key)
{
    static int asked = 0;
    return Deployment::askAt(machines.ip(number) + ":8629",
                             {.path = "/book/x",
                              .headers = {"Host: shop.example",
                                          "X-Request-Id: k" + std::to_string(++asked),
                                          "X-Deadline-Ms: 1500",
                                          "X-Shard-Key: 7",
                                          "Authorization: Token " + key}})
        .status;
}

} // namespace

// Guards against callers' keys in logs, metrics and reports, and in data sent to upstreams and agents.
TEST_CASE("platform process: keys are taken away everywhere, and no key shows in any output", "[process]")
{
    PlatformMachines machines;
    REQUIRE(Deployment::eventually(10s, [&] {
        return machines
                   .order(1,
                          "PUT",
                          "/api/config",
                          workspaceManifest("3", "0", json::array({"secret-north-1", "secret-north-2"})))
                   .status
               == 200;
    }));
    for (const int number : {11, 12}) {
        REQUIRE(Deployment::eventually(10s, [&] {
            return statusFor(machines, number, "secret-north-1") == 200;
        }));
        REQUIRE(statusFor(machines, number, "secret-south-1") == 200);
        REQUIRE(statusFor(machines, number, "secret-none") == 401);
    }
    REQUIRE(machines.order(1, "PUT", "/api/config", workspaceManifest("4", "3", json::array({"secret-south-1"}))).status
            == 400);
    REQUIRE(machines.order(1, "PUT", "/api/config", workspaceManifest("4", "3", json::array({"secret-north-2"}))).status
            == 200);
    for (const int number : {11, 12}) {
        REQUIRE(Deployment::eventually(2s, [&] {
            return statusFor(machines, number, "secret-north-1") == 401;
        }));
        REQUIRE(statusFor(machines, number, "secret-north-2") == 200);
    }
    const json read = json::parse(machines.order(2, "GET", "/api/config").body);
    REQUIRE(read["tenants"]["rows"][0] == json::array({"north", json::array({"secret-north-2"})}));
    std::string output;
    for (const int number : {11, 12}) {
        for (const char *path : {"/metrics", "/healthz", "/burn", "/burn?json"}) {
            output += Deployment::askAt(machines.ip(number) + ":7603", {.path = path}).body;
        }
    }
    for (const int number : {1, 2, 3}) {
        output += Deployment::askAt(machines.ip(number) + ":7602", {.path = "/metrics"}).body;
    }
    REQUIRE(output.size() > 1000);
    for (const auto &entry : std::filesystem::directory_iterator(machines.folder)) {
        if (entry.path().extension() == ".log") {
            std::ifstream log(entry.path());
            output.append(std::istreambuf_iterator<char>(log), {});
        }
    }
    REQUIRE(output.find("secret-") == std::string::npos);
}

// Guards against a limit that each agent applies separately, which would allow a workspace the limit once per agent.
TEST_CASE("platform process: two agents together admit a workspace's limit and refuse the rest", "[process]")
{
    constexpr double Rate = 20;
    constexpr double Burst = 10;
    /** In seconds; the default window of limits, which the settings files do not change. */
    constexpr double Window = 5;
    PlatformMachines machines;
    json limited = json::parse(workspaceManifest("3", "0", json::array({"secret-north-1"})));
    limited["tenants"]["columns"] = json::array({"name", "api_keys", "rate_per_s", "burst"});
    limited["tenants"]["rows"][0].insert(limited["tenants"]["rows"][0].end(), {Rate, Burst});
    limited["tenants"]["rows"][1].insert(limited["tenants"]["rows"][1].end(), {nullptr, nullptr});
    REQUIRE(Deployment::eventually(10s, [&] {
        return machines.order(1, "PUT", "/api/config", limited.dump()).status == 200;
    }));
    for (const int number : {11, 12}) {
        REQUIRE(Deployment::eventually(15s, [&] {
            return statusFor(machines, number, "secret-north-1") == 200;
        }));
    }
    const auto startedAt = std::chrono::steady_clock::now();
    unsigned served = 0;
    unsigned refused = 0;
    while (std::chrono::steady_clock::now() - startedAt < 4s) {
        const int status = statusFor(machines, 11 + static_cast<int>((served + refused) % 2), "secret-north-1");
        served += status == 200 ? 1 : 0;
        refused += status == 429 ? 1 : 0;
        std::this_thread::sleep_for(5ms);
    }
    CAPTURE(served, refused);
    REQUIRE(served <= Rate * Window + Burst);
    REQUIRE(served >= (Rate * Window + Burst) / 3);
    REQUIRE(refused > 0);
    REQUIRE(statusFor(machines, 11, "secret-south-1") == 200);
}
