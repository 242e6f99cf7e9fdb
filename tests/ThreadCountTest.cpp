#include "Deployment.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <iterator>

using namespace bergamotweir::test;
using namespace std::chrono_literals;

namespace {

constexpr int MaxAgentThreads = 4;
constexpr int MaxControlThreads = 8;

int threadsOf(const Process &process)
{
    const std::filesystem::directory_iterator tasks("/proc/" + std::to_string(process.pid) + "/task");
    return static_cast<int>(std::distance(begin(tasks), end(tasks)));
}

} // namespace

// Guards against a fleet that can't be started: a process that starts threads for each core of the machine.
TEST_CASE("process fault: threads do not grow with the cores of the machine", "[process]")
{
    Plan plan;
    plan.name = "threads";
    plan.table = "service,failure_domain,upstream,weight,limit,keyed,timeout_ms\nenrolments,*,*,1,12,yes,1000\n";
    plan.upstreams = {{"enrolments", {"bne-a", "bne-b"}, {"--checks-grants"}}};
    Deployment deployment(std::move(plan));
    for (const UpstreamVm &vm : deployment.vms) {
        REQUIRE(Deployment::eventually(10s, [&] {
            const Ask keyed{.path = "/s/enrolments/x",
                            .headers = {"Routing-Key: class-7", "Idempotency-Key: " + vm.name}};
            return Deployment::ask(vm, keyed).status == 200;
        }));
    }
    for (const UpstreamVm &vm : deployment.vms) {
        CHECK(threadsOf(vm.agent) <= MaxAgentThreads);
    }
    // Operators' calls have started gRPC at the leader.
    REQUIRE(deployment.run({"status"}).exitCode == 0);
    for (const ControlVm &vm : deployment.controls) {
        CHECK(threadsOf(vm.control) <= MaxControlThreads);
    }
}
