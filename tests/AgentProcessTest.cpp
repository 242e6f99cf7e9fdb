#include "Deployment.h"
#include "KeptConnection.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <thread>

using namespace bergamotweir::test;
using namespace std::chrono_literals;

namespace {

Plan slowEnrolments(const std::string &name)
{
    Plan plan;
    plan.name = name;
    plan.controls = 1;
    plan.table = "service,keyed,timeout_ms\nenrolments,yes,3000\n";
    plan.upstreams = {{.service = "enrolments",
                       .failureDomains = {"bne-a", "bne-b"},
                       .upstreamFlags = {"--service-time-us", "400000", "--jitter", "0"}}};
    return plan;
}

Ask enrol(const std::string &id)
{
    return {.method = "POST",
            .path = "/s/enrolments/seats",
            .headers = {"Routing-Key: class-7", "Test-Id: " + id},
            .body = id,
            .timeout = 5000ms};
}

/** Sends a request that takes 400 ms, and injects a fault into the deployment while it runs. */
Reply askDuring(Deployment &deployment, const UpstreamVm &vm, const std::string &id, const std::function<void()> &fault)
{
    Reply reply;
    std::thread caller([&] {
        reply = Deployment::ask(vm, enrol(id));
    });
    REQUIRE(Deployment::eventually(3s, [&] {
        return deployment.executions(id) == 1;
    }));
    fault();
    caller.join();
    return reply;
}

bool isServed(const UpstreamVm &vm, const std::string &id)
{
    return Deployment::eventually(5s, [&] {
        return Deployment::ask(vm, enrol(id)).status == 200;
    });
}

/** @return the concurrent requests that an agent allows at its upstream, 0 if it reports none */
unsigned allowedConcurrencyOf(const UpstreamVm &vm)
{
    const nlohmann::json health = nlohmann::json::parse(Deployment::get(vm.operatorPort, "/healthz"), nullptr, false);
    return health.is_object() && health.contains("upstreams") ? health["upstreams"][0].value("allowed", 0U) : 0;
}

} // namespace

// A request is cut off, or its key has two owners: a gracefully stopping upstream closes its listening socket first and
// finishes its work, and its agent takes the refused connections for a crash.
TEST_CASE("an upstream that stops in good order finishes its work before its keys are reassigned", "[process]")
{
    Deployment deployment(slowEnrolments("upstream-stop"));
    REQUIRE(isServed(deployment.vms[0], "first"));
    UpstreamVm &owner = deployment.vm(deployment.owner("enrolments", "class-7"));
    const Reply reply = askDuring(deployment, deployment.vms[0], "during", [&] {
        Deployment::signal(owner.upstream, SIGTERM);
    });
    REQUIRE(reply.status == 200);
    REQUIRE(reply.headers.at("test-id") == "during");
    REQUIRE(Deployment::waitForExit(owner.upstream, 5s) == 0);
    REQUIRE(isServed(deployment.vms[0], "after"));
    REQUIRE(deployment.executions("during") == 1);
    REQUIRE(deployment.executions("after") == 1);
}

// A request runs twice: its agent is stopped for an update while it runs, and another agent retries it.
TEST_CASE("a stopping agent finishes what is in progress and hands its keys over", "[process]")
{
    Deployment deployment(slowEnrolments("agent-stop"));
    REQUIRE(isServed(deployment.vms[0], "first"));
    UpstreamVm &owner = deployment.vm(deployment.owner("enrolments", "class-7"));
    UpstreamVm &other = owner.name == deployment.vms[0].name ? deployment.vms[1] : deployment.vms[0];
    const Reply reply = askDuring(deployment, other, "during", [&] {
        Deployment::signal(owner.agent, SIGTERM);
    });
    REQUIRE(reply.status == 200);
    REQUIRE(Deployment::ask(other, enrol("next")).status == 200);
    REQUIRE(Deployment::waitForExit(owner.agent, 10s) == 0);
    REQUIRE(deployment.executions("during") == 1);
    REQUIRE(deployment.executions("next") == 1);
}

// A caller gets a wrong answer: its upstream crashed while the request ran, so the request must be neither retried nor
// reported as not run.
TEST_CASE("a request in progress at a crash is answered at once as possibly run, and isn't sent again", "[process]")
{
    Deployment deployment(slowEnrolments("crash-during"));
    REQUIRE(isServed(deployment.vms[0], "first"));
    UpstreamVm &owner = deployment.vm(deployment.owner("enrolments", "class-7"));
    const auto begin = std::chrono::steady_clock::now();
    const Reply reply = askDuring(deployment, deployment.vms[0], "during", [&] {
        Deployment::kill(owner.upstream);
    });
    REQUIRE(std::chrono::steady_clock::now() - begin < 2s);
    REQUIRE(reply.status == 502);
    REQUIRE(reply.headers.at("request-ran") == "unknown");
    REQUIRE(isServed(deployment.vms[0], "after"));
    REQUIRE(deployment.executions("during") == 1);
}

// Callers are refused for seconds after each planned restart of an agent, although its upstream stays warm.
// Order: the gate's limit has grown; the agent stops and starts; its gate starts again at one request.
// Cause: the learned limit is lost with the process. A restarted upstream must start cold nevertheless.
TEST_CASE("an agent that restarts beside a warm upstream starts from the learned limit", "[process]")
{
    Plan plan = slowEnrolments("resume-limit");
    plan.upstreams.front().upstreamFlags = {"--service-time-us", "1000", "--jitter", "0"};
    Deployment deployment(std::move(plan));
    REQUIRE(isServed(deployment.vms[0], "first"));
    UpstreamVm &owner = deployment.vm(deployment.owner("enrolments", "class-7"));
    REQUIRE(Deployment::eventually(10s, [&] {
        return Deployment::ask(owner, enrol("warm")).status == 200 && allowedConcurrencyOf(owner) > 1;
    }));
    const unsigned before = allowedConcurrencyOf(owner);
    Deployment::signal(owner.agent, SIGTERM);
    REQUIRE(Deployment::waitForExit(owner.agent, 10s) == 0);
    Deployment::start(owner.agent);
    REQUIRE(Deployment::eventually(5s, [&] {
        return allowedConcurrencyOf(owner) == before;
    }));
    Deployment::kill(owner.upstream);
    Deployment::start(owner.upstream);
    REQUIRE(Deployment::eventually(5s, [&] {
        return allowedConcurrencyOf(owner) == 1;
    }));
}

// Requests on keep-alive connections get no answer while their agent stops.
// Order: the agent gets SIGTERM; a request is sent on one of the connections every few milliseconds until all are
// closed. Cause: the agent ends its other parts first, while its callers' sockets are open but no longer read.
TEST_CASE("process: a stopping agent leaves no request on a keep-alive connection unread", "[process]")
{
    Deployment deployment(slowEnrolments("kept-connections"));
    UpstreamVm &vm = deployment.vms[0];
    REQUIRE(isServed(vm, "warm"));
    constexpr std::size_t Connections = 40;
    std::vector<std::unique_ptr<KeptConnection>> kept;
    for (std::size_t number = 0; number < Connections; ++number) {
        kept.push_back(std::make_unique<KeptConnection>(vm.callerPort));
        REQUIRE(kept.back()->ask("/unknown", 2s).answered);
    }
    Deployment::signal(vm.agent, SIGTERM);
    std::size_t closed = 0;
    for (std::size_t turn = 0; closed < Connections; ++turn) {
        REQUIRE(turn < 20000);
        KeptConnection &connection = *kept[turn % Connections];
        if (!connection.isOpen()) {
            continue;
        }
        const KeptConnection::Outcome outcome = connection.ask("/unknown", 2s);
        if (!outcome.answered) {
            INFO("no answer after " << outcome.elapsedTime.count() << " ms");
            REQUIRE(outcome.elapsedTime < 100ms);
        }
        closed += connection.isOpen() ? 0 : 1;
        std::this_thread::sleep_for(2ms);
    }
    REQUIRE(Deployment::waitForExit(vm.agent, 15s) == 0);
}
