#include "PlatformMachines.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace bergamotweir::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

/** Requests per second that the upstream states. */
constexpr double RateLimit = 10;
/** Span in which requests are counted. */
constexpr auto Window = 4s;
/** Factor and number of requests by which a span may exceed the stated limit. */
constexpr double Tolerance = 1.5;
constexpr unsigned Slack = 5;
/** Time after which callers of an agent that passed on the notice get no more requests through to a leaving upstream.
 */
constexpr auto DrainTime = 2s;

/** Starts the machines, with a manifest in force and the keys divided between the two upstreams. */
struct ServingMachines : PlatformMachines {
    ServingMachines()
    {
        REQUIRE(Deployment::eventually(10s, [&] {
            return this->order(1, "PUT", "/api/config", platformManifest("00000003", "00000000")).status == 200;
        }));
        REQUIRE(Deployment::eventually(10s, [&] {
            return keysHeld(*this->workers[0]) > 20000 && keysHeld(*this->workers[1]) > 20000;
        }));
        this->key = static_cast<unsigned>(this->upstream().held().front()[0]);
        REQUIRE(this->served(11, this->key));
        REQUIRE(this->served(12, this->key));
    }

    PlatformWorker &upstream()
    {
        return *this->workers[0];
    }

    /** Key that the first upstream holds. */
    unsigned key = 0;
};

/** @return keys at equal distances among those that the upstream holds */
std::vector<unsigned> someKeysHeld(PlatformWorker &upstream, std::size_t count)
{
    std::vector<unsigned> held;
    for (const auto &row : upstream.held()) {
        for (std::uint64_t key = row[0]; key <= row[1]; ++key) {
            held.push_back(static_cast<unsigned>(key));
        }
    }
    REQUIRE(held.size() >= count);
    std::vector<unsigned> chosen;
    for (std::size_t index = 0; index < count; ++index) {
        chosen.push_back(held[index * held.size() / count]);
    }
    return chosen;
}

/** Sends requests for one key to agents, from one thread for each entry, until it is destroyed. */
class Callers
{
public:
    Callers(const PlatformMachines &machines, const std::vector<int> &agents, unsigned key)
    {
        for (const int agent : agents) {
            const std::string prefix = "n" + std::to_string(agent) + "-" + std::to_string(this->threads.size()) + "-";
            this->threads.emplace_back([this, &machines, agent, key, prefix] {
                for (unsigned number = 0; !this->stopped; ++number) {
                    const std::string id = prefix + std::to_string(number);
                    const Reply reply = machines.ask(agent, id, key);
                    this->served += reply.status == 200 ? 1 : 0;
                    this->refused += reply.status == 503 && reply.headers.contains("retry-after") ? 1 : 0;
                    this->failed += reply.status != 200 && reply.status != 503 ? 1 : 0;
                    std::this_thread::sleep_for(2ms);
                }
            });
        }
    }

    ~Callers()
    {
        this->stopped = true;
        for (std::thread &thread : this->threads) {
            thread.join();
        }
    }

    std::atomic<unsigned> served{0};
    std::atomic<unsigned> refused{0};
    std::atomic<unsigned> failed{0};

private:
    std::atomic<bool> stopped{false};
    std::vector<std::thread> threads;
};

/** @return the number of requests that the agent counts as sent to its upstream */
unsigned sentByAgent(const PlatformMachines &machines, int agent)
{
    const std::string text = Deployment::askAt(machines.ip(agent) + ":7603", {.path = "/metrics"}).body;
    const std::string name = "bergamotweir_upstream_requests_total{service=\"seats\"} ";
    const std::size_t found = text.find(name);
    return found == std::string::npos ? 0 : static_cast<unsigned>(std::stoul(text.substr(found + name.size())));
}

unsigned
countBetween(const std::vector<PlatformWorker::Arrival> &arrivals, Clock::time_point from, Clock::time_point to)
{
    const auto isBetween = [&](const PlatformWorker::Arrival &arrival) {
        return from <= arrival.time && arrival.time < to;
    };
    return static_cast<unsigned>(std::count_if(arrivals.begin(), arrivals.end(), isBetween));
}

/** @return the largest number of arrivals within any Window that starts at @p from or later */
unsigned maxInWindow(const std::vector<PlatformWorker::Arrival> &arrivals, Clock::time_point from)
{
    unsigned most = 0;
    for (const PlatformWorker::Arrival &first : arrivals) {
        most = std::max(most, first.time < from ? 0 : countBetween(arrivals, first.time, first.time + Window));
    }
    return most;
}

} // namespace

// Guards against an upstream in need that gets more requests than the rate it states.
TEST_CASE("platform process: all agents together send an upstream no more than the rate limit that it states",
          "[process]")
{
    ServingMachines machines;
    machines.upstream().rateLimit = RateLimit;
    const auto statedAt = Clock::now();
    unsigned served = 0;
    {
        const Callers callers(machines, {11, 12}, machines.key);
        std::this_thread::sleep_for(6s);
        served = callers.served;
        CHECK(callers.refused > 0);
        CHECK(callers.failed == 0);
    }
    CHECK(maxInWindow(machines.upstream().arrivals(), statedAt + 500ms)
          <= Tolerance * RateLimit * std::chrono::duration<double>(Window).count() + Slack);
    CHECK(served >= RateLimit * 3);
    CHECK(sentByAgent(machines, 11) == machines.upstream().arrivals().size());

    machines.upstream().rateLimit = -1;
    const Callers callers(machines, {11, 12}, machines.key);
    CHECK(Deployment::eventually(3s, [&] {
        return callers.served >= 10 * RateLimit;
    }));
}

// Guards against a restarted agent that fills all slots of an upstream in need before the first answer states the
// limit.
TEST_CASE("platform process: a restarted agent applies the rate limit that the upstream has stated before", "[process]")
{
    constexpr double LowLimit = 2;
    ServingMachines machines;
    machines.upstream().rateLimit = LowLimit;
    REQUIRE(machines.served(11, machines.key));
    std::this_thread::sleep_for(500ms);
    machines.upstream().workTime = 900ms;
    const std::vector<unsigned> keys = someKeysHeld(machines.upstream(), 10);
    Deployment::kill(machines.agents[0]);
    Deployment::start(machines.agents[0]);
    const auto restartedAt = Clock::now();
    // Several keys, as control moves slices away from an upstream with so low a limit.
    std::vector<std::unique_ptr<Callers>> callers;
    callers.reserve(keys.size());
    for (const unsigned key : keys) {
        callers.push_back(std::make_unique<Callers>(machines, std::vector{12}, key));
    }
    REQUIRE(Deployment::eventually(10s, [&] {
        return countBetween(machines.upstream().arrivals(), restartedAt, Clock::now()) > 0;
    }));
    std::this_thread::sleep_for(1s);
    CHECK(countBetween(machines.upstream().arrivals(), restartedAt, Clock::now()) <= 2 + LowLimit * 2);
}

// Guards against requests sent to a leaving upstream by agents that can't reach control.
TEST_CASE("platform process: a leaving upstream gets no more requests from agents that are cut off from control",
          "[process]")
{
    ServingMachines machines;
    for (Process &control : machines.controls) {
        Deployment::kill(control);
    }
    machines.upstream().isLeaving = true;
    const auto leavingAt = Clock::now();
    const Callers callers(machines, {11, 12}, machines.key);
    std::this_thread::sleep_for(DrainTime + 1500ms);
    const std::vector<PlatformWorker::Arrival> arrivals = machines.upstream().arrivals();
    CHECK(countBetween(arrivals, leavingAt, leavingAt + DrainTime) > 0);
    CHECK(countBetween(arrivals, leavingAt + DrainTime, Clock::now()) == 0);
    CHECK(callers.failed == 0);
}

// Guards against a leaving upstream that gets requests again because the agent beside it has restarted.
TEST_CASE("platform process: a leaving upstream stays out of use when the agent beside it restarts", "[process]")
{
    ServingMachines machines;
    machines.upstream().isLeaving = true;
    const auto leavingAt = Clock::now();
    const Callers callers(machines, {12}, machines.key);
    std::this_thread::sleep_for(DrainTime);
    Deployment::kill(machines.agents[0]);
    Deployment::start(machines.agents[0]);
    std::this_thread::sleep_for(5s);
    CHECK(countBetween(machines.upstream().arrivals(), leavingAt + DrainTime + 200ms, Clock::now()) == 0);
    const unsigned servedBefore = callers.served;
    CHECK(Deployment::eventually(5s, [&] {
        return callers.served > servedBefore;
    }));
}

// Guards against callers refused by an upstream at its limit while another upstream of the service has room.
TEST_CASE("process: requests that any upstream can run are served by others when one is at its stated rate limit",
          "[process]")
{
    constexpr double LowLimit = 5;
    constexpr unsigned Requests = 400;
    Deployment deployment(
        {.name = "rate-limit",
         .table = "service,failure_domain,upstream,weight,limit,keyed,timeout_ms\ncatalogue,*,*,1,12,no,2000\n",
         .upstreams = {{"catalogue", {"bne-a"}, {"--rate-limit", std::to_string(LowLimit)}},
                       {"catalogue", {"bne-b"}, {}}}});
    const std::string limited = "\"upstream\":\"" + deployment.vms[0].name + "\"";
    const auto startedAt = Clock::now();
    unsigned served = 0;
    unsigned servedByLimited = 0;
    for (unsigned number = 0; number < Requests; ++number) {
        const Reply reply = Deployment::ask(deployment.vms[number % 2], {.path = "/s/catalogue/x"});
        served += reply.status == 200 ? 1 : 0;
        servedByLimited += reply.body.find(limited) != std::string::npos ? 1 : 0;
        std::this_thread::sleep_for(5ms);
    }
    const double seconds = std::chrono::duration<double>(Clock::now() - startedAt).count();
    CAPTURE(servedByLimited, seconds);
    CHECK(served == Requests);
    CHECK(servedByLimited > 0);
    CHECK(servedByLimited <= LowLimit * seconds + 2 * LowLimit);
}
