#include "cli/Command.h"
#include "cli/Context.h"
#include "cli/ProcessSettings.h"
#include "cli/ReadSettings.h"
#include "cli/Run.h"
#include "cli/Values.h"
#include "report/BurnReport.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <sstream>

using namespace bergamotweir;
using namespace bergamotweir::cli;
using namespace std::chrono_literals;

namespace {

/** A command line whose surroundings are fakes: files, variables, clock and the control group. */
struct Desk {
    std::ostringstream out;
    std::ostringstream err;
    std::map<std::string, std::string> variables{{"BERGAMOTWEIR_CONTROL", "127.0.0.1:7001"}};
    std::map<std::string, std::string> files;
    std::vector<wire::OperatorRequest> asked;
    std::function<wire::OperatorReply(const wire::OperatorRequest &)> answer;
    std::chrono::system_clock::time_point now{1000s};
    Context context{
        .out = this->out,
        .err = this->err,
        .environment =
            [this](const std::string &variable) {
                const auto found = this->variables.find(variable);
                return found == this->variables.end() ? std::nullopt : std::optional(found->second);
            },
        .operate =
            [this](const std::vector<std::string> &, const wire::OperatorRequest &request, std::chrono::milliseconds) {
                this->asked.push_back(request);
                return this->answer(request);
            },
        .fetchAll =
            [](const std::vector<std::string> &urls, std::chrono::milliseconds) {
                return std::vector<Result<std::string>>(urls.size(), oneFinding("agent", "not reachable"));
            },
        .readFile = [this](const std::string &path) -> Result<std::string> {
            const auto found = this->files.find(path);
            if (found == this->files.end()) {
                return oneFinding("file " + path, "can't be read");
            }
            return found->second;
        },
        .newChangeId =
            [] {
                return "ch-1";
            },
        .wallClock =
            [this] {
                return this->now;
            },
        .sleep =
            [this](std::chrono::milliseconds span) {
                this->now += span;
            },
    };

    int run(const std::vector<std::string> &words)
    {
        this->out.str("");
        this->err.str("");
        return cli::run(words, this->context);
    }
};

/** A control group with one service, fees, on upstream f1 in bne-a; it takes every change. */
wire::OperatorReply smallGroup(const wire::OperatorRequest &request)
{
    wire::OperatorReply reply;
    reply.mutable_version()->set_index(120);
    reply.set_table_version(request.has_put_table() || request.has_mark() ? 8 : 7);
    if (request.has_get_table()) {
        reply.set_csv("service,weight\nfees,1\n");
    }
    if (request.has_get_status()) {
        wire::UpstreamInfo &upstream = *reply.mutable_report()->add_upstreams()->mutable_upstream();
        upstream.set_service("fees");
        upstream.set_name("f1");
        upstream.set_failure_domain("bne-a");
    }
    if (request.has_get_in_force()) {
        reply.mutable_in_force()->add_confirmed("a1");
    }
    return reply;
}

} // namespace

TEST_CASE("a flag beats its variable, and a default is used last")
{
    Desk desk;
    desk.variables = {
        {"BERGAMOTWEIR_AGENT_NAME", "a1"}, {"BERGAMOTWEIR_CALLER_PORT", "1"}, {"BERGAMOTWEIR_ADDRESS", "127.0.0.1"}};
    const Command *agent = &allCommands()[1];
    const Result<Values> values =
        readSettings(*agent,
                     {"--caller-port=8001", "--failure-domain", "bne-a", "--control", "127.0.0.1:7001,127.0.0.1:7002"},
                     desk.context.environment);
    REQUIRE(values);
    const process::AgentSettings settings = toAgentSettings(values.value()).value();
    CHECK(settings.agentName == "a1");
    CHECK(settings.callerPort == 8001);
    CHECK(settings.peerPort == 0);
    CHECK(settings.controls == std::vector<std::string>{"127.0.0.1:7001", "127.0.0.1:7002"});
    CHECK(settings.logLevel == "info");
}

TEST_CASE("all bad settings are told together, each with its place, and nothing is started")
{
    Desk desk;
    desk.variables = {{"BERGAMOTWEIR_PEER_PORT", "70000"}};
    CHECK(desk.run({"agent", "--caller-port", "x", "--nope", "1", "--agent-name", "a 1"}) == ExitBadInput);
    const std::string told = desk.err.str();
    for (const char *place : {"flag --caller-port: \"x\"",
                              "flag --nope: is unknown",
                              "argument 1: \"1\" is one too many",
                              "flag --agent-name: \"a 1\"",
                              "variable BERGAMOTWEIR_PEER_PORT: \"70000\"",
                              "flag --control: is missing",
                              "flag --failure-domain: is missing",
                              "flag --address: is missing"}) {
        CHECK(told.find(place) != std::string::npos);
    }
    CHECK(desk.run({"control",
                    "--replica-id",
                    "c9",
                    "--address",
                    "127.0.0.1",
                    "--raft-port",
                    "0",
                    "--control-port",
                    "7001",
                    "--data-folder",
                    "d",
                    "--replicas",
                    "c1=127.0.0.1:7101/7001"})
          == ExitBadInput);
    CHECK(desk.err.str()
          == "flag --replicas: doesn't name this replica, c9; write a list with all the first members, or --join\n"
             "flag --raft-port: 0 is no port that others can know; write the port of the membership\n");
}

TEST_CASE("every command has a help with an example that its own settings accept")
{
    Desk desk;
    for (const Command &command : allCommands()) {
        INFO(command.name);
        std::istringstream line{std::string(command.example)};
        std::vector<std::string> words;
        for (std::string word; line >> word && word != ">";) {
            words.push_back(word);
        }
        std::istringstream nameText{std::string(command.name)};
        const auto nameLength = std::distance(std::istream_iterator<std::string>(nameText), {});
        const std::vector<std::string> settings(words.begin() + 1 + nameLength, words.end());
        CHECK(readSettings(command, settings, desk.context.environment));
        std::vector<std::string> help(words.begin() + 1, words.begin() + 1 + nameLength);
        help.emplace_back("--help");
        CHECK(desk.run(help) == ExitDone);
        CHECK(desk.out.str().find(command.example) != std::string::npos);
    }
    CHECK(desk.run({"--help"}) == ExitDone);
    CHECK(desk.run({"tabel", "put"}) == ExitBadInput);
}

TEST_CASE("table put tells that the table is committed, and who lacks it")
{
    // One agent is cut off while the operator puts a table: the change holds, and the operator must learn which agent
    // still acts on the old one instead of believing that it is in force everywhere.
    Desk desk;
    desk.files["t.csv"] = "service,weight\nfees,2\n";
    unsigned polls = 0;
    desk.answer = [&](const wire::OperatorRequest &request) {
        wire::OperatorReply reply = smallGroup(request);
        if (request.has_get_in_force() && ++polls < 100) {
            reply.mutable_in_force()->add_missing("a2");
        }
        return reply;
    };
    const std::vector<std::string> put{"table", "put", "t.csv", "--base", "current", "--wait", "3"};
    CHECK(desk.run(put) == ExitUnknown);
    CHECK(desk.out.str() == "committed: table version 8 at 0/120, change ch-1\nin force: 1 agents\nrows changed: 1\n");
    CHECK(desk.err.str().find("agents a2: don't have it in force after 3 s") == 0);
    CHECK(desk.asked[2].put_table().base_version() == 7);
    polls = 100;
    CHECK(desk.run(put) == ExitDone);
}

TEST_CASE("a change whose outcome is not known says how to send it again safely")
{
    // The leader commits the change and dies before it answers. The operator must neither be told that it failed nor
    // make it twice.
    Desk desk;
    desk.answer = [](const wire::OperatorRequest &request) {
        wire::OperatorReply reply = smallGroup(request);
        if (request.has_mark()) {
            reply.set_status(wire::OPERATOR_STATUS_UNKNOWN);
        }
        return reply;
    };
    CHECK(desk.run({"mark", "in", "failure-domain", "bne-a", "--json"}) == ExitUnknown);
    const nlohmann::json json = nlohmann::json::parse(desk.out.str());
    CHECK(json["status"] == "unknown");
    CHECK(json["change_id"] == "ch-1");
    CHECK(json["findings"][0]["remedy"] == "the same command with --change-id ch-1");
}

TEST_CASE("a table sent again with base current names the base of the first try")
{
    // The leader commits version 8 and its answer is lost. The operator sends the same command again; the version in
    // force is now its own, and the change would be refused as another one under the same id.
    Desk desk;
    desk.files["t.csv"] = "service,weight\nfees,2\n";
    desk.answer = [](const wire::OperatorRequest &request) {
        wire::OperatorReply reply = smallGroup(request);
        reply.set_table_version(8);
        if (request.has_get_history()) {
            wire::HistoryEntry &entry = *reply.add_history();
            entry.set_change_id("mine");
            entry.set_table_version(8);
        }
        return reply;
    };
    CHECK(desk.run({"table", "put", "t.csv", "--base", "current", "--change-id", "mine"}) == ExitDone);
    CHECK(desk.asked.back().put_table().base_version() == 7);
    CHECK(desk.run({"table", "put", "t.csv", "--base", "current", "--change-id", "other"}) == ExitDone);
    CHECK(desk.asked.back().put_table().base_version() == 8);
}

TEST_CASE("marking the last failure domain of a service out needs a flag of its own")
{
    Desk desk;
    desk.answer = smallGroup;
    CHECK(desk.run({"mark", "out", "failure-domain", "bne-a"}) == ExitRefused);
    CHECK(desk.err.str().find("service fees: the change takes out its last 1 upstream(s)") == 0);
    CHECK_FALSE(desk.asked.back().has_mark());
    CHECK(desk.run({"mark", "out", "failure-domain", "bne-a", "--even-if-last"}) == ExitDone);
    CHECK(desk.asked.back().mark().name() == "bne-a");
    CHECK(desk.run({"mark", "out", "failure-domain", "bne-aa"}) == ExitDone);
    CHECK(desk.err.str().find("no upstream has announced itself with bne-aa") != std::string::npos);
}

TEST_CASE("status shows on one screen what is in force where, and how each upstream fares")
{
    Desk desk;
    desk.answer = [](const wire::OperatorRequest &request) {
        wire::OperatorReply reply = smallGroup(request);
        wire::StatusReport &report = *reply.mutable_report();
        report.mutable_visible()->set_index(110);
        report.mutable_upstreams(0)->set_lease_valid(true);
        report.mutable_upstreams(0)->mutable_in_force()->set_index(109);
        report.mutable_upstreams(0)->mutable_upstream()->set_serving(true);
        report.mutable_upstreams(0)->mutable_upstream()->set_agent("a1");
        report.mutable_upstreams(0)->mutable_upstream()->set_operator_address("127.0.0.1:9");
        report.add_failure_domains_out("gc-a");
        return reply;
    };
    std::string health = R"({"stopping":false,"upstreams":[{"service":"fees","name":"f1","condition":"cold"}]})";
    desk.context.fetchAll = [&](const std::vector<std::string> &urls, std::chrono::milliseconds) {
        CHECK(urls == std::vector<std::string>{"http://127.0.0.1:9/healthz"});
        return std::vector<Result<std::string>>{health};
    };
    CHECK(desk.run({"status"}) == ExitDone);
    CHECK(desk.out.str().find("failure domains gc-a; upstreams none") != std::string::npos);
    CHECK(desk.out.str().find("upstreams: 1, 1 serving; 1 behind version 0/110") != std::string::npos);
    CHECK(desk.out.str().find("f1        fees     bne-a   a1     serving  cold       0       0/109")
          != std::string::npos);
    for (const char *odd : {"", "[]", R"({"upstreams":[1]})", R"({"upstreams":{}})"}) {
        health = odd;
        CHECK(desk.run({"status", "--json"}) == ExitDone);
        CHECK(nlohmann::json::parse(desk.out.str())["upstreams"][0]["condition"] == "-");
    }
}

TEST_CASE("the burn report adds up the agents that answer and names those that don't")
{
    // Two agents, one of which is cut off: its refusals are missing, and a report that hid this would look too good.
    Desk desk;
    desk.answer = [](const wire::OperatorRequest &request) {
        wire::OperatorReply reply = smallGroup(request);
        reply.mutable_report()->clear_upstreams();
        for (const char *agent : {"a1", "a2", "a3"}) {
            wire::UpstreamInfo &upstream = *reply.mutable_report()->add_upstreams()->mutable_upstream();
            upstream.set_agent(agent);
            upstream.set_operator_address(std::string("10.0.0.") + agent[1] + ":1");
        }
        return reply;
    };
    const std::string good = report::toJson({.agents = 1, .counting = 60s, .services = {}, .unreachable = {}});
    desk.context.fetchAll = [&](const std::vector<std::string> &urls, std::chrono::milliseconds) {
        CHECK(urls.at(1) == "http://10.0.0.2:1/burn?json");
        return std::vector<Result<std::string>>{good, oneFinding("url", "refused"), std::string("<html>")};
    };
    CHECK(desk.run({"report", "burn"}) == ExitDone);
    CHECK(desk.out.str().find("burn report of 1 agents, counting for 60 s at least\n"
                              "NOT ASKED: a2 at 10.0.0.2:1 (refused); its requests are missing below\n"
                              "NOT ASKED: a3 at 10.0.0.3:1 (")
          == 0);
}

TEST_CASE("a conflict passes on the differing rows and has an exit code of its own")
{
    Desk desk;
    desk.files["t.csv"] = "service,weight\nfees,2\n";
    desk.answer = [](const wire::OperatorRequest &request) {
        wire::OperatorReply reply = smallGroup(request);
        if (request.has_put_table()) {
            reply.set_status(wire::OPERATOR_STATUS_CONFLICT);
            reply.add_findings()->set_place("row fees,*,*");
        }
        return reply;
    };
    CHECK(desk.run({"table", "put", "t.csv", "--base", "6"}) == ExitConflict);
    CHECK(desk.err.str().find("row fees,*,*") == 0);
}
