#include "Deployment.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>

using namespace bergamotweir::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds MaxUnservedTime{1000};
constexpr std::chrono::milliseconds MaxUnservedTimeOnUpstreamLoss{300};
// The machine that runs the tests may be busy: a test fails only above this many times the target, and prints the time.
constexpr int SlackFactor = 3;

Plan enrolments(const std::string &name, std::vector<std::string> upstreamFlags = {"--checks-grants"})
{
    Plan plan;
    plan.name = name;
    plan.table = "service,failure_domain,upstream,weight,limit,keyed,timeout_ms\n"
                 "enrolments,*,*,1,12,yes,1000\n";
    plan.upstreams = {{"enrolments", {"bne-a", "bne-b", "gc-a", "gc-a"}, std::move(upstreamFlags)}};
    return plan;
}

const std::string Key = "class-7";
const std::string KeyHeader = "Routing-Key: class-7";

bool isServed(const UpstreamVm &through, std::chrono::milliseconds timeout = 200ms)
{
    const std::string limit = "Request-Timeout: " + std::to_string(timeout.count());
    return Deployment::ask(through, {.path = "/s/enrolments/x", .headers = {KeyHeader, limit}}).status == 200;
}

void waitUntilServed(const Deployment &deployment)
{
    for (const UpstreamVm &vm : deployment.vms) {
        REQUIRE(Deployment::eventually(10s, [&] {
            return isServed(vm);
        }));
    }
}

/** @return a VM other than that of the named upstream */
UpstreamVm &vmOtherThan(Deployment &deployment, const std::string &name)
{
    return deployment.vms[0].name == name ? deployment.vms[1] : deployment.vms[0];
}

/** @return the time from @p since until the key is served through this agent */
std::chrono::milliseconds unservedTime(const UpstreamVm &through, Clock::time_point since)
{
    REQUIRE(Deployment::eventually(10s, [&] {
        return isServed(through);
    }));
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - since);
}

void requireWithin(const std::string &what, std::chrono::milliseconds seen, std::chrono::milliseconds target)
{
    WARN(what << ": unserved for " << seen.count() << " ms, target " << target.count() << " ms");
    REQUIRE(seen < target * SlackFactor);
}

std::string oneRow(unsigned limit)
{
    return "service,failure_domain,upstream,weight,limit,keyed,timeout_ms\nenrolments,*,*,1," + std::to_string(limit)
           + ",yes,1000\n";
}

} // namespace

// A key has no server because its owner's VM was lost.
// Order: the owner's agent and upstream are killed; its lease ends; another upstream must own the key.
// Cause of a longer gap: waiting for more than the lease, or a route that is not renewed.
TEST_CASE("process fault: a key is served again after its owner's VM is killed", "[process]")
{
    Deployment deployment(enrolments("kill-vm"));
    waitUntilServed(deployment);
    const std::string owner = deployment.owner("enrolments", Key);
    UpstreamVm &lost = deployment.vm(owner);
    Deployment::kill(lost.agent);
    Deployment::kill(lost.upstream);
    const auto seen = unservedTime(vmOtherThan(deployment, owner), Clock::now());
    requireWithin("owner's VM killed", seen, MaxUnservedTime);
    REQUIRE(deployment.owner("enrolments", Key) != owner);
}

// Only the upstream's process is killed; its agent keeps running and notices.
// Order: the upstream is killed; the agent reports it; the key moves without waiting for the lease.
// Cause of a longer gap: the loss is detected only by a missing announcement.
TEST_CASE("process fault: a key is served again after its owner's upstream process is killed", "[process]")
{
    Deployment deployment(enrolments("kill-upstream"));
    waitUntilServed(deployment);
    const std::string owner = deployment.owner("enrolments", Key);
    Deployment::kill(deployment.vm(owner).upstream);
    const auto seen = unservedTime(vmOtherThan(deployment, owner), Clock::now());
    requireWithin("owner's upstream killed", seen, MaxUnservedTimeOnUpstreamLoss);
}

// Callers see refusals although every upstream is healthy, because the leader of the control group was killed.
// Order: the leader is killed; agents hold leases for a while; a new leader renews them before they end.
// Cause of a gap: the election and the agents' search for the new leader take longer than the lease.
TEST_CASE("process fault: keys stay served, and the table can be changed, after the control leader is killed",
          "[process]")
{
    Deployment deployment(enrolments("kill-leader"));
    waitUntilServed(deployment);
    const int leader = deployment.leader();
    REQUIRE(leader >= 0);
    Deployment::kill(deployment.controls[static_cast<std::size_t>(leader)].control);
    const auto killed = Clock::now();
    std::chrono::milliseconds longest{0};
    auto lastServed = killed;
    while (Clock::now() - killed < 2s) {
        if (isServed(deployment.vms[0])) {
            lastServed = Clock::now();
        }
        longest = std::max(longest, std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - lastServed));
    }
    requireWithin("control leader killed", longest, MaxUnservedTime);
    const std::string file = deployment.writeFile("next.csv", oneRow(11));
    REQUIRE(deployment.run({"table", "put", file, "--base", "current", "--wait", "5"}).exitCode == 0);
}

// A payment is executed by an upstream that lost the key while its VM was frozen.
// Order: the owner's agent is frozen past its lease with requests waiting; the key moves; the agent resumes.
// Cause: an agent that relies on a lease that it read before the freeze.
TEST_CASE("process fault: an agent frozen past its lease serves nothing it no longer owns", "[process]")
{
    Deployment deployment(enrolments("freeze-agent"));
    waitUntilServed(deployment);
    const std::string owner = deployment.owner("enrolments", Key);
    UpstreamVm &frozen = deployment.vm(owner);
    const UpstreamVm &other = vmOtherThan(deployment, owner);
    Deployment::signal(frozen.agent, SIGSTOP);
    const auto seen = unservedTime(other, Clock::now());
    requireWithin("owner's agent frozen", seen, MaxUnservedTime);
    std::string ownerBefore = deployment.owner("enrolments", Key);
    REQUIRE(ownerBefore != owner);
    Deployment::signal(frozen.agent, SIGCONT);
    for (unsigned number = 0; number < 50; ++number) {
        const std::string id = "Test-Id: after-thaw-" + std::to_string(number);
        const Reply reply = Deployment::ask(
            frozen, {.method = "POST", .path = "/s/enrolments/pay", .headers = {KeyHeader, id}, .body = "seat"});
        REQUIRE(deployment.executions("after-thaw-" + std::to_string(number)) <= 1);
        // The key may move back between the answer and the question for its owner.
        const std::string ownerAfter = deployment.owner("enrolments", Key);
        if (reply.status == 200) {
            INFO("owner before " << ownerBefore << ", after " << ownerAfter << ", answer " << reply.body);
            REQUIRE((reply.body.find("\"" + ownerBefore + "\"") != std::string::npos
                     || reply.body.find("\"" + ownerAfter + "\"") != std::string::npos));
        }
        ownerBefore = ownerAfter;
    }
}

// An operator's change is confirmed by a control VM that is no longer the leader, and is lost later.
// Order: the leader is frozen; a new leader commits a change; the old leader resumes and receives reads.
// Cause: a leader that answers from its own state without confirming its leadership with a quorum.
TEST_CASE("process fault: a control leader that resumes after a freeze returns no older table", "[process]")
{
    Deployment deployment(enrolments("freeze-leader"));
    waitUntilServed(deployment);
    const int leader = deployment.leader();
    REQUIRE(leader >= 0);
    const Process &frozen = deployment.controls[static_cast<std::size_t>(leader)].control;
    Deployment::signal(frozen, SIGSTOP);
    const std::string file = deployment.writeFile("next.csv", oneRow(7));
    CommandResult put;
    REQUIRE(Deployment::eventually(15s, [&] {
        put = deployment.run({"table", "put", file, "--base", "1", "--change-id", "after-freeze"});
        return put.exitCode == 0;
    }));
    Deployment::signal(frozen, SIGCONT);
    for (unsigned number = 0; number < 10; ++number) {
        const CommandResult get = deployment.run({"table", "get", "--json"});
        INFO(get.output);
        REQUIRE(get.exitCode == 0);
        REQUIRE(get.output.find(",7,") != std::string::npos);
    }
    // The same change sent again, as after a lost answer, gets the first answer.
    REQUIRE(deployment.run({"table", "put", file, "--base", "1", "--change-id", "after-freeze"}).exitCode == 0);
}

// Two operators edit the same version; the second must not overwrite the first one's change unnoticed.
// Order: both send base version 1 with different content. Cause: the last write wins.
TEST_CASE(
    "process fault: of two changes with the same base one is made and the other is refused with the conflicting rows",
    "[process]")
{
    Deployment deployment(enrolments("race"));
    const std::string first = deployment.writeFile("first.csv", oneRow(8));
    const std::string second = deployment.writeFile("second.csv", oneRow(9));
    const CommandResult won = deployment.run({"table", "put", first, "--base", "1", "--author", "ana"});
    INFO(won.output);
    REQUIRE(won.exitCode == 0);
    const CommandResult lost = deployment.run({"table", "put", second, "--base", "1", "--author", "rui"});
    INFO(lost.output);
    REQUIRE(lost.exitCode == 3);
    REQUIRE(lost.output.find("ana") != std::string::npos);
    REQUIRE(lost.output.find("limit") != std::string::npos);
}

// A request acknowledged before a restart of the whole control group runs a second time when it is sent again.
// Order: POST with an Idempotency-Key is answered; all three control processes are killed and started; resend.
// Cause: claims kept in memory, or a log entry that takes effect before it is synced.
TEST_CASE("process fault: claims and the table survive a restart of the whole control group", "[process]")
{
    Deployment deployment(enrolments("restart-all"));
    waitUntilServed(deployment);
    const Ask sweep{.method = "POST",
                    .path = "/s/enrolments/sweep",
                    .headers = {KeyHeader, "Idempotency-Key: sweep-1", "Test-Id: sweep-1"},
                    .body = "100 BRL"};
    const Reply first = Deployment::ask(deployment.vms[0], sweep);
    INFO(first.body);
    REQUIRE(first.status == 200);
    for (ControlVm &control : deployment.controls) {
        Deployment::kill(control.control);
    }
    for (ControlVm &control : deployment.controls) {
        Deployment::start(control.control);
    }
    Reply again;
    REQUIRE(Deployment::eventually(10s, [&] {
        again = Deployment::ask(deployment.vms[1], sweep);
        return again.status == 200;
    }));
    REQUIRE(again.body == first.body);
    REQUIRE(deployment.executions("sweep-1") == 1);
    REQUIRE(deployment.run({"table", "get"}).output.find("enrolments") != std::string::npos);
    const Ask other{.method = "POST",
                    .path = "/s/enrolments/sweep",
                    .headers = {KeyHeader, "Idempotency-Key: sweep-1", "Test-Id: sweep-1"},
                    .body = "900 BRL"};
    REQUIRE(Deployment::ask(deployment.vms[0], other).status == 409);
}

// A control VM restarts with an empty disk under its old name and votes twice in one term.
// Order: a follower's data folder is lost and it restarts; the group replaces it; a second VM is lost; a change is
// made. Cause: a replica that is identified by its name only.
TEST_CASE("process fault: a replica that lost its disk is replaced, and a second VM can be lost right after",
          "[process]")
{
    Deployment deployment(enrolments("lost-disk"));
    const int leader = deployment.leader();
    REQUIRE(leader >= 0);
    ControlVm &lost = deployment.controls[static_cast<std::size_t>(leader + 1) % 3];
    Deployment::kill(lost.control);
    std::filesystem::remove_all(lost.dataFolder);
    lost.control.arguments.erase(lost.control.arguments.end() - 2, lost.control.arguments.end());
    lost.control.arguments.emplace_back("--join");
    lost.control.arguments[3] = "c4";
    Deployment::start(lost.control);
    const std::string address = "127.0.0.1:" + std::to_string(lost.raftPort) + "/" + std::to_string(lost.controlPort);
    const CommandResult removed = deployment.run({"member", "remove", lost.id});
    INFO(removed.output);
    REQUIRE(removed.exitCode == 0);
    CommandResult added;
    REQUIRE(Deployment::eventually(10s, [&] {
        added = deployment.run({"member", "add", "c4", address});
        return added.exitCode == 0;
    }));
    CommandResult promoted;
    REQUIRE(Deployment::eventually(10s, [&] {
        promoted = deployment.run({"member", "promote", "c4"});
        return promoted.exitCode == 0;
    }));
    Deployment::kill(deployment.controls[static_cast<std::size_t>(leader)].control);
    const std::string file = deployment.writeFile("next.csv", oneRow(6));
    CommandResult put;
    REQUIRE(Deployment::eventually(10s, [&] {
        put = deployment.run({"table", "put", file, "--base", "1", "--change-id", "after-repair"});
        return put.exitCode == 0;
    }));
    REQUIRE(deployment.run({"table", "get"}).output.find(",6,") != std::string::npos);
}

// A control VM loses power in the middle of a write; the replica must restart with all that it acknowledged.
// Order: a follower is killed, the end of its newest log file is truncated, and it restarts.
TEST_CASE("process fault: a torn end of the log is truncated and replicated again", "[process]")
{
    Deployment deployment(enrolments("torn-tail"));
    const int leader = deployment.leader();
    REQUIRE(leader >= 0);
    ControlVm &torn = deployment.controls[static_cast<std::size_t>(leader + 1) % 3];
    Deployment::kill(torn.control);
    std::string newest;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(torn.dataFolder)) {
        const std::string path = entry.path().string();
        if (path.find("log") != std::string::npos && entry.is_regular_file() && path > newest) {
            newest = path;
        }
    }
    INFO(newest);
    REQUIRE(!newest.empty());
    REQUIRE(std::filesystem::file_size(newest) > 8);
    std::filesystem::resize_file(newest, std::filesystem::file_size(newest) - 5);
    Deployment::start(torn.control);
    Deployment::kill(deployment.controls[static_cast<std::size_t>(leader)].control);
    const std::string file = deployment.writeFile("next.csv", oneRow(5));
    CommandResult put;
    REQUIRE(Deployment::eventually(10s, [&] {
        put = deployment.run({"table", "put", file, "--base", "1", "--change-id", "after-tear"});
        return put.exitCode == 0;
    }));
}

// Keys are unavailable while their failure domain is marked out, or its upstreams still get requests afterwards.
// Order: mark out while requests continue; mark in. Cause: unfinished moves or stale routes.
TEST_CASE(
    "process fault: a failure domain marked out gets no new work after two seconds, and gets work again once marked in",
    "[process]")
{
    Deployment deployment(enrolments("mark-out"));
    waitUntilServed(deployment);
    REQUIRE(deployment.run({"mark", "out", "failure-domain", "gc-a"}).exitCode == 0);
    const auto marked = Clock::now();
    const auto executionsInGcA = [&] {
        unsigned count = 0;
        for (const UpstreamVm &vm : deployment.vms) {
            if (vm.failureDomain == "gc-a") {
                std::ifstream ledger(vm.ledger);
                for (std::string line; std::getline(ledger, line);) {
                    ++count;
                }
            }
        }
        return count;
    };
    unsigned refused = 0;
    std::string refusals;
    unsigned executionsAfterTwoSeconds = 0;
    bool isCounting = false;
    for (unsigned number = 0; Clock::now() - marked < 4s; ++number) {
        if (!isCounting && Clock::now() - marked > 2s) {
            isCounting = true;
            executionsAfterTwoSeconds = executionsInGcA();
        }
        const std::string key = "Routing-Key: class-" + std::to_string(number % 200);
        const UpstreamVm &vm = deployment.vms[number % deployment.vms.size()];
        const Reply reply = Deployment::ask(vm, {.path = "/s/enrolments/x", .headers = {key}});
        if (reply.status != 200) {
            ++refused;
            refusals += vm.name + " " + key + ": " + std::to_string(reply.status) + " " + reply.body + "\n";
        }
    }
    INFO(refusals);
    REQUIRE(refused == 0);
    REQUIRE(executionsInGcA() == executionsAfterTwoSeconds);
    REQUIRE(deployment.run({"mark", "in", "failure-domain", "gc-a"}).exitCode == 0);
    REQUIRE(Deployment::eventually(10s, [&] {
        for (unsigned number = 0; number < 50; ++number) {
            const std::string key = "Routing-Key: class-" + std::to_string(number);
            REQUIRE(Deployment::ask(deployment.vms[0], {.path = "/s/enrolments/x", .headers = {key}}).status == 200);
        }
        return executionsInGcA() > executionsAfterTwoSeconds;
    }));
}

// A planned restart aborts a caller's request.
// Order: requests run through every agent; each agent in turn gets SIGTERM and restarts.
// Cause: an agent that exits before its requests have ended or its keys have moved.
TEST_CASE("process fault: agents and the control leader stop gracefully one after the other", "[process]")
{
    Deployment deployment(enrolments("rolling"));
    waitUntilServed(deployment);
    for (UpstreamVm &vm : deployment.vms) {
        Deployment::signal(vm.agent, SIGTERM);
        for (unsigned number = 0; number < 40; ++number) {
            const std::string key = "Routing-Key: class-" + std::to_string(number);
            const UpstreamVm &through = vmOtherThan(deployment, vm.name);
            const Reply reply = Deployment::ask(through, {.path = "/s/enrolments/x", .headers = {key}});
            INFO(vm.name << " stops, " << key << ", " << reply.status << " " << reply.body);
            REQUIRE(reply.status == 200);
        }
        REQUIRE(Deployment::waitForExit(vm.agent, 10s) == 0);
        Deployment::start(vm.agent);
        REQUIRE(Deployment::eventually(10s, [&] {
            return isServed(vm);
        }));
    }
    const int leader = deployment.leader();
    REQUIRE(leader >= 0);
    Process &control = deployment.controls[static_cast<std::size_t>(leader)].control;
    Deployment::signal(control, SIGTERM);
    for (unsigned number = 0; number < 100; ++number) {
        REQUIRE(isServed(deployment.vms[number % 4], 1000ms));
    }
    REQUIRE(Deployment::waitForExit(control, 10s) == 0);
}

// One request crashes every upstream that runs it, and its caller sends it again.
// Order: the request is sent until the answer is 422; the crashed upstreams restart; other requests are still served.
TEST_CASE("process fault: a request that crashes upstreams is quarantined after two crashes", "[process]")
{
    Deployment deployment(enrolments("quarantine"));
    waitUntilServed(deployment);
    const Ask crashingRequest{.path = "/s/enrolments/deadly", .headers = {KeyHeader, "Test-Crash: yes"}};
    unsigned crashes = 0;
    int last = 0;
    for (unsigned attempt = 0; attempt < 8 && last != 422; ++attempt) {
        last = Deployment::ask(deployment.vms[attempt % 4], crashingRequest).status;
        for (UpstreamVm &vm : deployment.vms) {
            if (Deployment::hasEnded(vm.upstream)) {
                ++crashes;
                Deployment::start(vm.upstream);
            }
        }
        REQUIRE(Deployment::eventually(10s, [&] {
            return isServed(deployment.vms[0]);
        }));
    }
    REQUIRE(last == 422);
    REQUIRE(crashes == 2);
    for (const UpstreamVm &vm : deployment.vms) {
        REQUIRE(Deployment::ask(vm, crashingRequest).status == 422);
        REQUIRE(isServed(vm, 1000ms));
    }
}

// One hot key overloads an upstream and affects every other key of the same slice.
// Order: a third of all requests go to one key; its agent reports the load; control gives the key a slice of its own,
// and the key is served meanwhile. Cause of a failure: loads that agents count but do not report.
TEST_CASE("process fault: a hot key gets a slice of its own without a refused request", "[process]")
{
    Deployment deployment(enrolments("hot-key"));
    waitUntilServed(deployment);
    const auto slice = [&] {
        const CommandResult result = deployment.run({"owner", "enrolments", Key, "--json"});
        return nlohmann::json::parse(result.output, nullptr, false);
    };
    const nlohmann::json before = slice();
    REQUIRE(before.is_object());
    REQUIRE(before["slice_begin"] != before["hash"]);
    unsigned number = 0;
    const bool isolated = Deployment::eventually(40s, [&] {
        for (unsigned count = 0; count < 300; ++count, ++number) {
            const std::string key = number % 3 == 0 ? KeyHeader : "Routing-Key: other-" + std::to_string(number);
            const UpstreamVm &vm = deployment.vms[number % deployment.vms.size()];
            const Reply reply = Deployment::ask(vm, {.path = "/s/enrolments/x", .headers = {key}});
            INFO(reply.body);
            REQUIRE(reply.status == 200);
        }
        const nlohmann::json now = slice();
        return now.is_object() && now["slice_begin"] == now["hash"];
    });
    REQUIRE(isolated);
}
