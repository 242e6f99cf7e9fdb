#include "Deployment.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace bergamotweir::test;
using namespace std::chrono_literals;

namespace {

Plan smallPlan(const std::string &name)
{
    Plan plan;
    plan.name = name;
    plan.table = "service,failure_domain,upstream,weight,limit,keyed,timeout_ms\n"
                 "enrolments,*,*,1,12,yes,2000\n"
                 "catalogue,*,*,1,12,no,2000\n";
    plan.upstreams = {{"enrolments", {"bne-a", "bne-b", "gc-a"}, {"--checks-grants"}},
                      {"catalogue", {"bne-a", "bne-b"}, {}}};
    return plan;
}

/** @return the ports in the process's flags that it listens on */
std::vector<std::uint16_t> portsOf(const Process &process)
{
    std::vector<std::uint16_t> ports;
    for (std::size_t index = 0; index + 1 < process.arguments.size(); ++index) {
        if (process.arguments[index].ends_with("-port")) {
            ports.push_back(static_cast<std::uint16_t>(std::stoul(process.arguments[index + 1])));
        }
    }
    return ports;
}

/** Sends bytes to a port and disconnects; a peer that closes early is not a failure. */
void sendBytes(std::uint16_t port, const std::string &bytes)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    INFO("port " << port);
    REQUIRE(connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0);
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto count = send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            break;
        }
        sent += static_cast<std::size_t>(count);
    }
    close(descriptor);
}

std::string randomBytes(pcg32 &random, std::size_t size)
{
    std::string bytes(size, '\0');
    for (char &byte : bytes) {
        byte = static_cast<char>(random(256));
    }
    return bytes;
}

} // namespace

TEST_CASE("a request to any agent reaches the only owner of its key, and its whole answer is returned", "[process]")
{
    const Deployment deployment(smallPlan("whole-path"));
    REQUIRE(Deployment::eventually(5s, [&] {
        return !deployment.owner("enrolments", "class-7").empty();
    }));
    const std::string owner = deployment.owner("enrolments", "class-7");
    unsigned number = 0;
    for (const UpstreamVm &vm : deployment.vms) {
        Ask ask{.path = "/s/enrolments/class", .headers = {"Routing-Key: class-7"}};
        ask.headers.push_back("Test-Id: keyed-" + std::to_string(++number));
        const Reply keyed = Deployment::ask(vm, ask);
        INFO(keyed.body);
        REQUIRE(keyed.status == 200);
        REQUIRE(keyed.body.find(owner) != std::string::npos);
        const Reply unkeyed = Deployment::ask(vm, {.path = "/s/catalogue/classes"});
        INFO(unkeyed.body);
        REQUIRE(unkeyed.status == 200);
    }
}

TEST_CASE("bad requests are answered by the agent itself, and the answers say that they did not run", "[process]")
{
    const Deployment deployment(smallPlan("bad-requests"));
    const UpstreamVm &vm = deployment.vms.front();
    const Reply unknown = Deployment::ask(vm, {.path = "/s/nowhere/x"});
    REQUIRE(unknown.status == 404);
    REQUIRE(unknown.headers.at("request-ran") == "no");
    REQUIRE(unknown.headers.at("content-type") == "application/problem+json");
    const Reply keyless = Deployment::ask(vm, {.path = "/s/enrolments/x"});
    REQUIRE(keyless.status == 400);
    REQUIRE(keyless.headers.at("request-ran") == "no");
    const Reply invalidTimeout = Deployment::ask(vm, {.path = "/s/catalogue/x", .headers = {"Request-Timeout: soon"}});
    REQUIRE(invalidTimeout.status == 400);
    REQUIRE(invalidTimeout.headers.at("request-ran") == "no");
    const Reply large =
        Deployment::ask(vm, {.path = "/s/catalogue/x", .headers = {"X-Large: " + std::string(100000, 'x')}});
    REQUIRE(large.status == 431);
    REQUIRE(Deployment::ask(vm, {.path = "/s/catalogue/x"}).status == 200);
}

// An agent that starts while control is down knows no services; if it answered that there is no such service, callers
// would not retry.
TEST_CASE("an agent that has no state from control yet answers 503 with Retry-After, and says that nothing ran",
          "[process]")
{
    Deployment deployment(smallPlan("no-state"));
    for (ControlVm &control : deployment.controls) {
        Deployment::kill(control.control);
    }
    UpstreamVm &vm = deployment.vms.front();
    Deployment::kill(vm.agent);
    Deployment::start(vm.agent);
    Reply reply;
    REQUIRE(Deployment::eventually(5s, [&] {
        reply = Deployment::ask(vm, {.path = "/s/catalogue/x"});
        return reply.status != 0;
    }));
    REQUIRE(reply.status == 503);
    REQUIRE(reply.headers.at("request-ran") == "no");
    REQUIRE(reply.headers.contains("retry-after"));
}

// A port scanner, or a client of another protocol, crashes a process and makes its keys unavailable.
// Input: each port of each process gets random bytes, half a request, and an HTTP/2 preface followed by random bytes.
TEST_CASE("invalid input on any port of any process crashes none of them", "[process]")
{
    Deployment deployment(smallPlan("garbage"));
    pcg32 random(20261202);
    std::vector<Process *> processes;
    for (ControlVm &control : deployment.controls) {
        processes.push_back(&control.control);
    }
    for (UpstreamVm &vm : deployment.vms) {
        processes.push_back(&vm.agent);
    }
    for (const Process *process : processes) {
        REQUIRE(portsOf(*process).size() >= 2);
        for (const std::uint16_t port : portsOf(*process)) {
            sendBytes(port, randomBytes(random, 1 + random(70000)));
            sendBytes(port, "POST /s/enrolments/x HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf");
            sendBytes(port, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + randomBytes(random, 1 + random(5000)));
        }
    }
    for (const UpstreamVm &vm : deployment.vms) {
        REQUIRE(Deployment::eventually(5s, [&] {
            return Deployment::ask(vm, {.path = "/s/enrolments/x", .headers = {"Routing-Key: class-7"}}).status == 200;
        }));
    }
    for (Process *process : processes) {
        REQUIRE(!Deployment::hasEnded(*process));
    }
}
