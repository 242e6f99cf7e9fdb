#include "Deployment.h"

#include <catch2/catch.hpp>
#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <thread>

namespace bergamotweir::test {

using namespace std::chrono_literals;

namespace {

const std::string Loopback = "127.0.0.1";

// Below the ephemeral ports, so that no outgoing connection takes one between the check and the use.
constexpr std::uint16_t FirstPort = 12000;
constexpr std::uint16_t PortRange = 18000;
constexpr std::uint16_t PortsPerProcess = 60;

bool isFree(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, Loopback.c_str(), &address.sin_addr);
    const bool isUsed = bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0;
    close(descriptor);
    return !isUsed;
}

/** Returns the next free port; each test process starts in a range of its own, chosen by its pid. */
std::uint16_t allocatePort()
{
    static std::uint16_t next = static_cast<std::uint16_t>(getpid() % (PortRange / PortsPerProcess) * PortsPerProcess);
    for (;;) {
        const std::uint16_t port = FirstPort + next;
        next = static_cast<std::uint16_t>((next + 1) % PortRange);
        if (isFree(port)) {
            return port;
        }
    }
}

std::string portText(std::uint16_t port)
{
    return std::to_string(port);
}

std::string addressOf(const std::string &port)
{
    return Loopback + ":" + port;
}

std::size_t appendBytes(char *data, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(data, size * count);
    return size * count;
}

std::size_t addHeader(char *data, std::size_t size, std::size_t count, void *target)
{
    const std::string line(data, size * count);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) {
            return static_cast<char>(std::tolower(letter));
        });
        const std::size_t begin = line.find_first_not_of(' ', colon + 1);
        const std::size_t end = line.find_last_not_of("\r\n");
        (*static_cast<std::map<std::string, std::string> *>(target))[name] =
            begin == std::string::npos || begin > end ? "" : line.substr(begin, end - begin + 1);
    }
    return size * count;
}

Reply perform(const std::string &url, const Ask &ask)
{
    Reply reply;
    CURL *easy = curl_easy_init();
    curl_slist *headers = nullptr;
    for (const std::string &header : ask.headers) {
        headers = curl_slist_append(headers, header.c_str());
    }
    headers = curl_slist_append(headers, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, ask.method.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    if (!ask.body.empty()) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(ask.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, ask.body.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(ask.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, appendBytes);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &reply.body);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, addHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &reply.headers);
    if (curl_easy_perform(easy) == CURLE_OK) {
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        reply.status = static_cast<int>(status);
    }
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
    return reply;
}

int spawn(const std::vector<std::string> &arguments, const std::string &logFile)
{
    std::vector<char *> raw;
    raw.reserve(arguments.size() + 1);
    for (const std::string &argument : arguments) {
        raw.push_back(const_cast<char *>(argument.c_str()));
    }
    raw.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, 1, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    int pid = 0;
    const int failed = posix_spawn(&pid, raw.front(), &actions, nullptr, raw.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    INFO(arguments.front());
    REQUIRE(failed == 0);
    return pid;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

int exitCodeOf(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

} // namespace

Deployment::Deployment(Plan requestedPlan)
    : plan(std::move(requestedPlan))
    , folder(std::string(TEST_BINARY_FOLDER) + "/deployments/" + this->plan.name + "-" + std::to_string(getpid()))
{
    std::filesystem::remove_all(this->folder);
    std::filesystem::create_directories(this->folder);
    this->planControls();
    this->planVms();
    for (ControlVm &control : this->controls) {
        start(control.control);
    }
    for (UpstreamVm &vm : this->vms) {
        start(vm.agent);
        start(vm.upstream);
    }
    const std::string file = this->writeFile("table.csv", this->plan.table);
    CommandResult put;
    const bool isInForce = eventually(10s, [&] {
        put = this->run({"table", "put", file, "--base", "current", "--wait", "5"});
        return put.exitCode == 0;
    });
    INFO(put.output);
    REQUIRE(isInForce);
    // The command waits only for agents that control knows; agents that join later get the table with their first
    // state.
    for (const UpstreamVm &vm : this->vms) {
        REQUIRE(eventually(5s, [&] {
            const nlohmann::json health = nlohmann::json::parse(get(vm.operatorPort, "/healthz"), nullptr, false);
            return health.is_object() && health.value("table_version", 0) > 0;
        }));
    }
}

Deployment::~Deployment()
{
    for (UpstreamVm &vm : this->vms) {
        kill(vm.agent);
        kill(vm.upstream);
    }
    for (ControlVm &control : this->controls) {
        kill(control.control);
    }
}

void Deployment::planControls()
{
    std::string replicas;
    for (unsigned index = 0; index < this->plan.controls; ++index) {
        ControlVm control;
        control.id = "c" + std::to_string(index + 1);
        control.raftPort = allocatePort();
        control.controlPort = allocatePort();
        control.dataFolder = this->folder + "/" + control.id;
        replicas += (replicas.empty() ? "" : ",") + control.id + "=" + Loopback + ":" + portText(control.raftPort) + "/"
                    + portText(control.controlPort);
        this->controls.push_back(control);
    }
    for (ControlVm &control : this->controls) {
        control.control.logFile = this->folder + "/" + control.id + ".log";
        control.control.arguments = {std::string(TEST_BINARY_FOLDER) + "/bergamotweir",
                                     "control",
                                     "--replica-id",
                                     control.id,
                                     "--address",
                                     Loopback,
                                     "--raft-port",
                                     portText(control.raftPort),
                                     "--control-port",
                                     portText(control.controlPort),
                                     "--data-folder",
                                     control.dataFolder,
                                     "--replicas",
                                     replicas};
    }
}

void Deployment::planVms()
{
    for (const Plan::Upstreams &group : this->plan.upstreams) {
        for (const std::string &failureDomain : group.failureDomains) {
            UpstreamVm vm;
            vm.service = group.service;
            vm.failureDomain = failureDomain;
            vm.name = "u" + std::to_string(this->vms.size() + 1);
            vm.callerPort = allocatePort();
            vm.operatorPort = allocatePort();
            vm.upstreamPort = allocatePort();
            vm.ledger = this->folder + "/" + vm.name + ".ledger";
            const std::string announcePort = portText(allocatePort());
            const std::string announceAddress = addressOf(announcePort);
            vm.agent.logFile = this->folder + "/" + vm.name + "-agent.log";
            vm.agent.arguments = {std::string(TEST_BINARY_FOLDER) + "/bergamotweir",
                                  "agent",
                                  "--agent-name",
                                  "a-" + vm.name,
                                  "--failure-domain",
                                  failureDomain,
                                  "--address",
                                  Loopback,
                                  "--caller-port",
                                  portText(vm.callerPort),
                                  "--peer-port",
                                  portText(allocatePort()),
                                  "--announce-port",
                                  announcePort,
                                  "--operator-port",
                                  portText(vm.operatorPort),
                                  "--control",
                                  this->controlAddresses()};
            vm.upstream.logFile = this->folder + "/" + vm.name + "-upstream.log";
            vm.upstream.arguments = {std::string(TEST_BINARY_FOLDER) + "/upstream",
                                     "--service",
                                     vm.service,
                                     "--name",
                                     vm.name,
                                     "--port",
                                     portText(vm.upstreamPort),
                                     "--agent",
                                     announceAddress,
                                     "--ledger",
                                     vm.ledger};
            vm.upstream.arguments.insert(
                vm.upstream.arguments.end(), group.upstreamFlags.begin(), group.upstreamFlags.end());
            this->vms.push_back(vm);
        }
    }
}

void Deployment::start(Process &process)
{
    REQUIRE(process.pid == 0);
    process.pid = spawn(process.arguments, process.logFile);
}

void Deployment::signal(const Process &process, int signal)
{
    REQUIRE(process.pid != 0);
    ::kill(process.pid, signal);
}

void Deployment::kill(Process &process)
{
    if (process.pid == 0) {
        return;
    }
    ::kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
    process.pid = 0;
}

bool Deployment::hasEnded(Process &process)
{
    if (waitpid(process.pid, nullptr, WNOHANG) != process.pid) {
        return false;
    }
    process.pid = 0;
    return true;
}

int Deployment::waitForExit(Process &process, std::chrono::milliseconds limit)
{
    int status = 0;
    const bool ended = eventually(limit, [&] {
        return waitpid(process.pid, &status, WNOHANG) == process.pid;
    });
    if (!ended) {
        kill(process);
        return -1;
    }
    process.pid = 0;
    return exitCodeOf(status);
}

CommandResult Deployment::run(std::vector<std::string> arguments) const
{
    static unsigned count = 0;
    const std::string log = this->folder + "/command-" + std::to_string(++count) + ".log";
    arguments.insert(arguments.begin(), std::string(TEST_BINARY_FOLDER) + "/bergamotweir");
    arguments.emplace_back("--control");
    arguments.push_back(this->controlAddresses());
    Process command{arguments, log, spawn(arguments, log)};
    CommandResult result;
    result.exitCode = waitForExit(command, 20s);
    result.output = readFile(log);
    return result;
}

Reply Deployment::ask(const UpstreamVm &vm, const Ask &ask)
{
    return perform("http://" + Loopback + ":" + portText(vm.callerPort) + ask.path, ask);
}

Reply Deployment::askAt(const std::string &address, const Ask &ask)
{
    return perform("http://" + address + ask.path, ask);
}

std::string Deployment::get(std::uint16_t port, const std::string &path)
{
    return perform("http://" + Loopback + ":" + portText(port) + path, {}).body;
}

std::string Deployment::writeFile(const std::string &name, const std::string &content) const
{
    std::string path = this->folder + "/" + name;
    std::ofstream(path) << content;
    return path;
}

int Deployment::leader() const
{
    const CommandResult status = this->run({"status", "--json"});
    const nlohmann::json report = nlohmann::json::parse(status.output, nullptr, false);
    if (!report.is_object()) {
        return -1;
    }
    const std::string name = report.value("leader", "");
    for (std::size_t index = 0; index < this->controls.size(); ++index) {
        if (this->controls[index].id == name) {
            return static_cast<int>(index);
        }
    }
    return -1;
}

std::string Deployment::owner(const std::string &service, const std::string &key) const
{
    const CommandResult ownerCommand = this->run({"owner", service, key, "--json"});
    const nlohmann::json report = nlohmann::json::parse(ownerCommand.output, nullptr, false);
    return report.is_object() ? report.value("upstream", "") : "";
}

UpstreamVm &Deployment::vm(const std::string &name)
{
    const auto found = std::find_if(this->vms.begin(), this->vms.end(), [&](const UpstreamVm &vm) {
        return vm.name == name;
    });
    REQUIRE(found != this->vms.end());
    return *found;
}

unsigned Deployment::executions(const std::string &text) const
{
    unsigned count = 0;
    for (const UpstreamVm &vm : this->vms) {
        std::ifstream ledger(vm.ledger);
        for (std::string line; std::getline(ledger, line);) {
            count += line.find(text) != std::string::npos ? 1 : 0;
        }
    }
    return count;
}

bool Deployment::eventually(std::chrono::milliseconds limit, const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    for (;;) {
        if (condition()) {
            return true;
        }
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(10ms);
    }
}

std::string Deployment::controlAddresses() const
{
    std::string text;
    for (const ControlVm &control : this->controls) {
        text += (text.empty() ? "" : ",") + Loopback + ":" + portText(control.controlPort);
    }
    return text;
}

} // namespace bergamotweir::test
