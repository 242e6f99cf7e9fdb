#include "Deployment.h"

#include <catch2/catch.hpp>

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

} // namespace

TEST_CASE("a request to any agent reaches the sole owner of its key, and its whole answer comes back", "[process]")
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

TEST_CASE("bad requests are answered by the agent itself, and say that they did not run", "[process]")
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
    const Reply timeless = Deployment::ask(vm, {.path = "/s/catalogue/x", .headers = {"Request-Timeout: soon"}});
    REQUIRE(timeless.status == 400);
    REQUIRE(timeless.headers.at("request-ran") == "no");
    const Reply large =
        Deployment::ask(vm, {.path = "/s/catalogue/x", .headers = {"X-Large: " + std::string(100000, 'x')}});
    REQUIRE(large.status == 431);
    REQUIRE(Deployment::ask(vm, {.path = "/s/catalogue/x"}).status == 200);
}
