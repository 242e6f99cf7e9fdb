#include "PlatformMachines.h"

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace bergamotweir::test {

using namespace std::chrono_literals;

namespace {

constexpr const char *OrderPort = ":8620";

} // namespace

PlatformMachines::PlatformMachines(bool grantsByCall)
    : net("127." + std::to_string(20 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) + ".")
    , folder(std::string(TEST_BINARY_FOLDER) + "/machines-" + std::to_string(getpid()))
    , grantsByCall(grantsByCall)
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

PlatformMachines::~PlatformMachines()
{
    this->workers.clear();
    for (Process &agent : this->agents) {
        Deployment::kill(agent);
    }
    for (Process &control : this->controls) {
        Deployment::kill(control);
    }
}

std::string PlatformMachines::ip(int number) const
{
    return this->net + std::to_string(number);
}

void PlatformMachines::startWorker(int number, const std::string &id, std::chrono::milliseconds heartbeatInterval)
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

std::string PlatformMachines::common(int number) const
{
    return "node_id=n" + std::to_string(number) + "\nip=" + this->ip(number) + "\nzone=z" + std::to_string(number)
           + "\nlisten.control=" + this->ip(number) + ":8620\ninternal_ports=7600,7615\nseeds=" + this->ip(1) + ":8620,"
           + this->ip(2) + ":8620," + this->ip(3) + ":8620\n";
}

std::string PlatformMachines::controlFile(int number, bool first) const
{
    return this->common(number) + "bootstrap=" + (first ? "true" : "false") + "\ndata_dir=" + this->folder + "/data"
           + std::to_string(number) + "\nfault_tolerance.machines=1\n";
}

std::string PlatformMachines::agentFile(int number) const
{
    return this->common(number) + "listen.inbound=" + this->ip(number) + ":8624\nlisten.outbound=" + this->ip(number)
           + ":8629\nlisten.ready_addr=" + this->ip(number) + ":8625\nservice=seats\napp_addr=" + this->ip(number)
           + ":8628\nbounds=grace_s=3\n";
}

Process PlatformMachines::process(const std::string &role, int number, const std::string &settings) const
{
    const std::string name = this->folder + "/" + role + std::to_string(number);
    std::ofstream(name + ".conf") << settings;
    return {{std::string(TEST_BINARY_FOLDER) + "/bergamotweir", "platform", role, "--node-file", name + ".conf"},
            name + ".log"};
}

Reply PlatformMachines::order(int number,
                              const std::string &method,
                              const std::string &path,
                              const std::string &body) const
{
    const Ask ask{.method = method, .path = path, .headers = {"Content-Type: application/json"}, .body = body};
    Reply reply = Deployment::askAt(this->ip(number) + OrderPort, ask);
    if (reply.status == 307) {
        const std::string location = reply.headers["location"];
        reply = Deployment::askAt(location.substr(7, location.find('/', 7) - 7), ask);
    }
    return reply;
}

Reply PlatformMachines::ask(int number, const std::string &id, unsigned key, const std::string &method) const
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

bool PlatformMachines::served(int number, unsigned key) const
{
    return Deployment::eventually(10s, [&] {
        return this->ask(number, "warm", key).status == 200;
    });
}

std::string platformManifest(const std::string &version, const std::string &base, const std::string &grants)
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

} // namespace bergamotweir::test
