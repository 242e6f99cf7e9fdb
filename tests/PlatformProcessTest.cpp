#include "Deployment.h"
#include "PlatformWorker.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>
#include <thread>
#include <unistd.h>

using namespace bergamotweir::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr const char *OrderPort = ":8620";

/** Runs the real programs with settings files of the users' machines, each VM at its own loopback address. */
struct Machines {
    std::string net = "127." + std::to_string(20 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) + ".";
    std::string folder = std::string(TEST_BINARY_FOLDER) + "/machines-" + std::to_string(getpid());
    std::vector<Process> controls;
    std::vector<Process> agents;
    std::vector<std::unique_ptr<PlatformWorker>> workers;
    bool grantsByCall = false;

    explicit Machines(bool grantsByCall = false)
        : grantsByCall(grantsByCall)
    {
        std::filesystem::remove_all(this->folder);
        std::filesystem::create_directories(this->folder);
        for (int number = 1; number <= 3; ++number) {
            this->controls.push_back(this->process("control", number, this->controlFile(number, true)));
            Deployment::start(this->controls.back());
        }
        for (int number = 11; number <= 12; ++number) {
            this->agents.push_back(this->process("agent", number, this->agentFile(number)));
            Deployment::start(this->agents.back());
            this->startWorker(number, "w" + std::to_string(number));
        }
    }

    ~Machines()
    {
        this->workers.clear();
        for (Process &agent : this->agents) {
            Deployment::kill(agent);
        }
        for (Process &control : this->controls) {
            Deployment::kill(control);
        }
    }

    std::string ip(int number) const
    {
        return this->net + std::to_string(number);
    }

    void startWorker(int number,
                     const std::string &id,
                     std::chrono::milliseconds heartbeatInterval = std::chrono::milliseconds(150))
    {
        this->workers.push_back(
            std::make_unique<PlatformWorker>(PlatformWorker::Settings{.id = id,
                                                                      .service = "seats",
                                                                      .zone = "z" + std::to_string(number),
                                                                      .address = this->ip(number),
                                                                      .port = 8628,
                                                                      .control = this->ip(number) + ":8620",
                                                                      .grantsByCall = this->grantsByCall,
                                                                      .heartbeatInterval = heartbeatInterval}));
    }

    std::string common(int number) const
    {
        return "node_id=n" + std::to_string(number) + "\nip=" + this->ip(number) + "\nzone=z" + std::to_string(number)
               + "\nlisten.control=" + this->ip(number) + ":8620\ninternal_ports=7600,7615\nseeds=" + this->ip(1)
               + ":8620," + this->ip(2) + ":8620," + this->ip(3) + ":8620\n";
    }

    std::string controlFile(int number, bool first) const
    {
        return this->common(number) + "bootstrap=" + (first ? "true" : "false") + "\ndata_dir=" + this->folder + "/data"
               + std::to_string(number) + "\nfault_tolerance.machines=1\n";
    }

    std::string agentFile(int number) const
    {
        return this->common(number) + "listen.inbound=" + this->ip(number)
               + ":8624\nlisten.outbound=" + this->ip(number) + ":8629\nlisten.ready_addr=" + this->ip(number)
               + ":8625\nservice=seats\napp_addr=" + this->ip(number) + ":8628\nbounds=grace_s=3\n";
    }

    Process process(const std::string &role, int number, const std::string &settings) const
    {
        const std::string name = this->folder + "/" + role + std::to_string(number);
        std::ofstream(name + ".conf") << settings;
        return {{std::string(TEST_BINARY_FOLDER) + "/bergamotweir", "platform", role, "--node-file", name + ".conf"},
                name + ".log"};
    }

    /** Sends an order to a control VM and follows a redirect to the leader. */
    Reply order(int number, const std::string &method, const std::string &path, const std::string &body = {}) const
    {
        const Ask ask{.method = method, .path = path, .headers = {"Content-Type: application/json"}, .body = body};
        Reply reply = Deployment::askAt(this->ip(number) + OrderPort, ask);
        if (reply.status == 307) {
            const std::string location = reply.headers["location"];
            reply = Deployment::askAt(location.substr(7, location.find('/', 7) - 7), ask);
        }
        return reply;
    }

    Reply ask(int number, const std::string &id, unsigned key, const std::string &method = "GET") const
    {
        return Deployment::askAt(this->ip(number) + ":8629",
                                 {.method = method,
                                  .path = "/book/x?y=1",
                                  .headers = {"Host: shop.example",
                                              "X-Request-Id: " + id,
                                              "X-Deadline-Ms: 1500",
                                              "X-Shard-Key: " + std::to_string(key)},
                                  .body = method == "GET" ? "" : "body"});
    }

    bool served(int number, unsigned key) const
    {
        return Deployment::eventually(10s, [&] {
            return this->ask(number, "warm", key).status == 200;
        });
    }
};

std::string manifest(const std::string &version, const std::string &base, const std::string &grants = "null")
{
    return R"({"version":")" + version + R"(","routes":{"columns":["name","host","prefix","kind","timeout_ms",)"
           + R"("target_latency_ms","priority","attempts","service"],"rows":[["r","shop.example","/book/",)"
           + R"("non_idempotent",1200,600,1,2,"seats"]]},"services":{"columns":["name","health_path","sharded",)"
           + R"("grants"],"rows":[["seats","/health",true,)" + grants + R"(]]},"base_version":")" + base + R"("})";
}

std::uint64_t keysHeld(PlatformWorker &worker)
{
    std::uint64_t count = 0;
    for (const auto &row : worker.held()) {
        count += row[1] - row[0] + 1;
    }
    return count;
}

} // namespace

// Runs the complete path with the settings files, heartbeats, manifests and header fields of the users' machines.
TEST_CASE("platform process: a manifest comes into force, every key has one owner, and keys of a killed agent are "
          "served again",
          "[process]")
{
    Machines machines;
    REQUIRE(Deployment::eventually(10s, [&] {
        return machines.order(1, "PUT", "/api/config", manifest("00000003", "00000000")).status == 200;
    }));
    REQUIRE(machines.order(2, "PUT", "/api/config", manifest("00000003", "00000000")).status == 200);
    REQUIRE(machines.order(3, "PUT", "/api/config", manifest("00000004", "00000002")).status == 412);
    REQUIRE(machines.order(1, "PUT", "/api/config", manifest("00000002", "00000003")).status == 400);
    const json read = json::parse(machines.order(2, "GET", "/api/config").body);
    REQUIRE(read["version"] == "00000003");
    REQUIRE(read["routes"] == json::parse(manifest("1", "0"))["routes"]);
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

// Guards against keys unserved for a whole heartbeat interval after the restart of an upstream that rarely sends one.
TEST_CASE("platform process: a restarted upstream gets its keys with the answer to its first heartbeat", "[process]")
{
    Machines machines;
    REQUIRE(Deployment::eventually(10s, [&] {
        return machines.order(1, "PUT", "/api/config", manifest("00000003", "00000000")).status == 200;
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
    Machines machines;
    REQUIRE(Deployment::eventually(10s, [&] {
        return machines.order(1, "PUT", "/api/config", manifest("00000003", "00000000")).status == 200;
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
    Machines machines(true);
    REQUIRE(Deployment::eventually(10s, [&] {
        return machines.order(1, "PUT", "/api/config", manifest("00000003", "00000000", "\"call\"")).status == 200;
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
    Machines machines;
    REQUIRE(Deployment::eventually(10s, [&] {
        return machines.order(1, "PUT", "/api/config", manifest("00000003", "00000000")).status == 200;
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
        return (text + more).find("CHANGE_REMOVE") != std::string::npos;
    }));
    Deployment::kill(machines.controls[2]);
    REQUIRE(Deployment::eventually(10s, [&] {
        return machines.order(1, "PUT", "/api/config", manifest("00000005", "00000003")).status == 200
               || machines.order(2, "PUT", "/api/config", manifest("00000005", "00000003")).status == 200;
    }));
}

namespace {

/** @return manifest() with two workspaces */
std::string workspaceManifest(const std::string &version, const std::string &base, const json &northKeys)
{
    json fullManifest = json::parse(manifest(version, base));
    fullManifest["tenants"]["columns"] = json::array({"name", "api_keys"});
    fullManifest["tenants"]["rows"] =
        json::array({json::array({"north", northKeys}), json::array({"south", json::array({"secret-south-1"})})});
    return fullManifest.dump();
}

int statusFor(const Machines &machines, int number, const std::string &key)
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
    Machines machines;
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
    Machines machines;
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
