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

/** Runs command lines with a fake environment: files, variables, clock and control group. */
struct CommandLineFixture {
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

/** Replies as a control group with one service, fees, on upstream f1 in bne-a; accepts every change. */
wire::OperatorReply replyOfSmallGroup(const wire::OperatorRequest &request)
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

TEST_CASE("a flag takes precedence over its variable, and the variable over the default")
{
    CommandLineFixture fixture;
    fixture.variables = {
        {"BERGAMOTWEIR_AGENT_NAME", "a1"}, {"BERGAMOTWEIR_CALLER_PORT", "1"}, {"BERGAMOTWEIR_ADDRESS", "127.0.0.1"}};
    const Command *agent = &allCommands()[1];
    const Result<Values> values =
        readSettings(*agent,
                     {"--caller-port=8001", "--failure-domain", "bne-a", "--control", "127.0.0.1:7001,127.0.0.1:7002"},
                     fixture.context.environment);
    REQUIRE(values);
    const process::AgentSettings settings = toAgentSettings(values.value()).value();
    CHECK(settings.agentName == "a1");
    CHECK(settings.callerPort == 8001);
    CHECK(settings.peerPort == 0);
    CHECK(settings.controls == std::vector<std::string>{"127.0.0.1:7001", "127.0.0.1:7002"});
    CHECK(settings.logLevel == "info");
}

TEST_CASE("all invalid settings are reported together, each with its place, and nothing is started")
{
    CommandLineFixture fixture;
    fixture.variables = {{"BERGAMOTWEIR_PEER_PORT", "70000"}};
    CHECK(fixture.run({"agent", "--caller-port", "x", "--nope", "1", "--agent-name", "a 1"}) == ExitBadInput);
    const std::string errorText = fixture.err.str();
    for (const char *place : {"flag --caller-port: \"x\"",
                              "flag --nope: is unknown",
                              "argument 1: \"1\" is one too many",
                              "flag --agent-name: \"a 1\"",
                              "variable BERGAMOTWEIR_PEER_PORT: \"70000\"",
                              "flag --control: is missing",
                              "flag --failure-domain: is missing",
                              "flag --address: is missing"}) {
        CHECK(errorText.find(place) != std::string::npos);
    }
    CHECK(fixture.run({"control",
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
    CHECK(fixture.err.str()
          == "flag --replicas: doesn't name this replica, c9; write a list with all the first members, or --join\n"
             "flag --raft-port: 0 is no port that others can know; write the port of the membership\n");
}

TEST_CASE("every command has a help with an example that its own settings accept")
{
    CommandLineFixture fixture;
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
        CHECK(readSettings(command, settings, fixture.context.environment));
        std::vector<std::string> help(words.begin() + 1, words.begin() + 1 + nameLength);
        help.emplace_back("--help");
        CHECK(fixture.run(help) == ExitDone);
        CHECK(fixture.out.str().find(command.example) != std::string::npos);
    }
    CHECK(fixture.run({"--help"}) == ExitDone);
    CHECK(fixture.run({"tabel", "put"}) == ExitBadInput);
}

TEST_CASE("table put reports that the table is committed and which agents don't have it in force")
{
    // One agent is unreachable while the operator puts a table. The table is committed, and the output must name the
    // agent that still uses the old one instead of reporting the table as in force everywhere.
    CommandLineFixture fixture;
    fixture.files["t.csv"] = "service,weight\nfees,2\n";
    unsigned polls = 0;
    fixture.answer = [&](const wire::OperatorRequest &request) {
        wire::OperatorReply reply = replyOfSmallGroup(request);
        if (request.has_get_in_force() && ++polls < 100) {
            reply.mutable_in_force()->add_missing("a2");
        }
        return reply;
    };
    const std::vector<std::string> put{"table", "put", "t.csv", "--base", "current", "--wait", "3"};
    CHECK(fixture.run(put) == ExitUnknown);
    CHECK(fixture.out.str()
          == "committed: table version 8 at 0/120, change ch-1\nin force: 1 agents\nrows changed: 1\n");
    CHECK(fixture.err.str().find("agents a2: don't have it in force after 3 s") == 0);
    CHECK(fixture.asked[2].put_table().base_version() == 7);
    polls = 100;
    CHECK(fixture.run(put) == ExitDone);
}

TEST_CASE("a change with an unknown outcome prints how to send it again safely")
{
    // The leader commits the change and exits before it answers. The change must neither be reported as failed nor be
    // made twice.
    CommandLineFixture fixture;
    fixture.answer = [](const wire::OperatorRequest &request) {
        wire::OperatorReply reply = replyOfSmallGroup(request);
        if (request.has_mark()) {
            reply.set_status(wire::OPERATOR_STATUS_UNKNOWN);
        }
        return reply;
    };
    CHECK(fixture.run({"mark", "in", "failure-domain", "bne-a", "--json"}) == ExitUnknown);
    const nlohmann::json json = nlohmann::json::parse(fixture.out.str());
    CHECK(json["status"] == "unknown");
    CHECK(json["change_id"] == "ch-1");
    CHECK(json["findings"][0]["remedy"] == "the same command with --change-id ch-1");
}

TEST_CASE("a table sent again with base current uses the base of the first attempt")
{
    // The leader commits version 8 and its answer is lost. When the operator sends the same command again, version 8 is
    // in force; with it as the base the change would be refused as a different one under the same id.
    CommandLineFixture fixture;
    fixture.files["t.csv"] = "service,weight\nfees,2\n";
    fixture.answer = [](const wire::OperatorRequest &request) {
        wire::OperatorReply reply = replyOfSmallGroup(request);
        reply.set_table_version(8);
        if (request.has_get_history()) {
            wire::HistoryEntry &entry = *reply.add_history();
            entry.set_change_id("mine");
            entry.set_table_version(8);
        }
        return reply;
    };
    CHECK(fixture.run({"table", "put", "t.csv", "--base", "current", "--change-id", "mine"}) == ExitDone);
    CHECK(fixture.asked.back().put_table().base_version() == 7);
    CHECK(fixture.run({"table", "put", "t.csv", "--base", "current", "--change-id", "other"}) == ExitDone);
    CHECK(fixture.asked.back().put_table().base_version() == 8);
}

TEST_CASE("marking the last failure domain of a service out requires --even-if-last")
{
    CommandLineFixture fixture;
    fixture.answer = replyOfSmallGroup;
    CHECK(fixture.run({"mark", "out", "failure-domain", "bne-a"}) == ExitRefused);
    CHECK(fixture.err.str().find("service fees: the change takes out its last 1 upstream(s)") == 0);
    CHECK_FALSE(fixture.asked.back().has_mark());
    CHECK(fixture.run({"mark", "out", "failure-domain", "bne-a", "--even-if-last"}) == ExitDone);
    CHECK(fixture.asked.back().mark().name() == "bne-a");
    CHECK(fixture.run({"mark", "out", "failure-domain", "bne-aa"}) == ExitDone);
    CHECK(fixture.err.str().find("no upstream has announced itself with bne-aa") != std::string::npos);
}

TEST_CASE("status shows versions in force and the condition of each upstream")
{
    CommandLineFixture fixture;
    fixture.answer = [](const wire::OperatorRequest &request) {
        wire::OperatorReply reply = replyOfSmallGroup(request);
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
    fixture.context.fetchAll = [&](const std::vector<std::string> &urls, std::chrono::milliseconds) {
        CHECK(urls == std::vector<std::string>{"http://127.0.0.1:9/healthz"});
        return std::vector<Result<std::string>>{health};
    };
    CHECK(fixture.run({"status"}) == ExitDone);
    CHECK(fixture.out.str().find("failure domains gc-a; upstreams none") != std::string::npos);
    CHECK(fixture.out.str().find("upstreams: 1, 1 serving; 1 behind version 0/110") != std::string::npos);
    CHECK(fixture.out.str().find("f1        fees     bne-a   a1     serving  cold       0       0/109")
          != std::string::npos);
    for (const char *malformed : {"", "[]", R"({"upstreams":[1]})", R"({"upstreams":{}})"}) {
        health = malformed;
        CHECK(fixture.run({"status", "--json"}) == ExitDone);
        CHECK(nlohmann::json::parse(fixture.out.str())["upstreams"][0]["condition"] == "-");
    }
}

TEST_CASE("the burn report sums up the agents that answer and names the others")
{
    // One of three agents is unreachable and another answers no report. Without naming them the report would understate
    // the refusals.
    CommandLineFixture fixture;
    fixture.answer = [](const wire::OperatorRequest &request) {
        wire::OperatorReply reply = replyOfSmallGroup(request);
        reply.mutable_report()->clear_upstreams();
        for (const char *agent : {"a1", "a2", "a3"}) {
            wire::UpstreamInfo &upstream = *reply.mutable_report()->add_upstreams()->mutable_upstream();
            upstream.set_agent(agent);
            upstream.set_operator_address(std::string("10.0.0.") + agent[1] + ":1");
        }
        return reply;
    };
    const std::string validReport = report::toJson({.agents = 1, .counting = 60s, .services = {}, .unreachable = {}});
    fixture.context.fetchAll = [&](const std::vector<std::string> &urls, std::chrono::milliseconds) {
        CHECK(urls.at(1) == "http://10.0.0.2:1/burn?json");
        return std::vector<Result<std::string>>{validReport, oneFinding("url", "refused"), std::string("<html>")};
    };
    CHECK(fixture.run({"report", "burn"}) == ExitDone);
    CHECK(fixture.out.str().find("burn report of 1 agents, counting for 60 s at least\n"
                                 "NOT ASKED: a2 at 10.0.0.2:1 (refused); its requests are missing below\n"
                                 "NOT ASKED: a3 at 10.0.0.3:1 (")
          == 0);
}

TEST_CASE("a conflict prints the differing rows and has its own exit code")
{
    CommandLineFixture fixture;
    fixture.files["t.csv"] = "service,weight\nfees,2\n";
    fixture.answer = [](const wire::OperatorRequest &request) {
        wire::OperatorReply reply = replyOfSmallGroup(request);
        if (request.has_put_table()) {
            reply.set_status(wire::OPERATOR_STATUS_CONFLICT);
            reply.add_findings()->set_place("row fees,*,*");
        }
        return reply;
    };
    CHECK(fixture.run({"table", "put", "t.csv", "--base", "6"}) == ExitConflict);
    CHECK(fixture.err.str().find("row fees,*,*") == 0);
}
