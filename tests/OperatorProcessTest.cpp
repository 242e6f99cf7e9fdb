#include "Deployment.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>

using namespace bergamotweir::test;
using namespace std::chrono_literals;

namespace {

Plan smallPlan(const std::string &name)
{
    Plan plan;
    plan.name = name;
    plan.table = "service,keyed,weight\nfees,no,1\n";
    plan.upstreams = {{"fees", {"bne-a", "bne-b"}, {}}};
    return plan;
}

/** @return a member of an answer, or null if it is missing, where operator[] would abort the test process */
nlohmann::json member(const nlohmann::json &answer, const std::string &name)
{
    return answer.is_object() ? answer.value(name, nlohmann::json()) : nlohmann::json();
}

nlohmann::json parse(const CommandResult &result)
{
    INFO(result.output);
    nlohmann::json json = nlohmann::json::parse(result.output, nullptr, false);
    REQUIRE(json.is_object());
    return json;
}

} // namespace

TEST_CASE("process fault: a change sent again after its leader was killed is made once, and undoes no later change",
          "[process]")
{
    // The answer to an operator is lost with the leader. A newer table is put through the next leader, then the first
    // change is sent again. It must neither be made a second time nor restore the older table.
    Deployment deployment(smallPlan("resend"));
    const std::string first = deployment.writeFile("first.csv", "service,keyed,weight\nfees,no,2\n");
    const std::string second = deployment.writeFile("second.csv", "service,keyed,weight\nfees,no,3\n");
    const std::vector<std::string> put{
        "table", "put", first, "--base", "current", "--change-id", "mine", "--json", "--timeout", "15"};
    const nlohmann::json once = parse(deployment.run(put));
    REQUIRE(member(once, "exit_code") == 0);
    const int leader = deployment.leader();
    REQUIRE(leader >= 0);
    Deployment::kill(deployment.controls[static_cast<std::size_t>(leader)].control);
    const nlohmann::json other =
        parse(deployment.run({"table", "put", second, "--base", "current", "--json", "--timeout", "15"}));
    REQUIRE(member(other, "exit_code") == 0);
    const nlohmann::json again = parse(deployment.run(put));
    CHECK(member(again, "exit_code") == 0);
    CHECK(member(again, "version") == member(once, "version"));
    CHECK(member(again, "table_version") == member(once, "table_version"));
    const nlohmann::json now = parse(deployment.run({"table", "get", "--json"}));
    CHECK(member(now, "table_version") == member(other, "table_version"));
    CHECK(member(now, "csv") == "service,keyed,weight\nfees,no,3\n");
}

TEST_CASE("process fault: table put names a frozen agent, which has the change in force after it resumes", "[process]")
{
    // An agent's VM is frozen while a table is put. The change is committed, but must not be reported as in force
    // everywhere. When the VM resumes, the agent must apply the change without further action.
    Deployment deployment(smallPlan("frozen-wait"));
    const std::string next = deployment.writeFile("next.csv", "service,keyed,weight\nfees,no,2\n");
    std::vector<std::string> put{
        "table", "put", next, "--base", "current", "--change-id", "mine", "--json", "--wait", "1"};
    UpstreamVm &frozen = deployment.vms[1];
    Deployment::signal(frozen.agent, SIGSTOP);
    const nlohmann::json first = parse(deployment.run(put));
    Deployment::signal(frozen.agent, SIGCONT);
    CHECK(member(first, "exit_code") == 4);
    CHECK(member(member(first, "in_force"), "missing") == nlohmann::json::array({"a-" + frozen.name}));
    CHECK(member(member(first, "in_force"), "confirmed") == nlohmann::json::array({"a-" + deployment.vms[0].name}));
    put.back() = "20";
    const nlohmann::json second = parse(deployment.run(put));
    CHECK(member(second, "exit_code") == 0);
    CHECK(member(second, "version") == member(first, "version"));
}
