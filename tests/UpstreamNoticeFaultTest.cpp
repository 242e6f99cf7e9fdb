#include "PlatformMachines.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <thread>

using namespace bergamotweir::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

/** Requests per second that the upstream states, and the most that it may get within any Window. */
constexpr double RateLimit = 10;
constexpr auto Window = 4s;
constexpr unsigned MaxInWindow = 65;
/** Time after which an agent that passed on the leaving notice sends the upstream nothing more. */
constexpr auto DrainTime = 2s;
constexpr auto FaultTime = 5s;
constexpr std::uint64_t ShortSeeds = 2;
constexpr std::uint64_t LongSeeds = 20;
/** Numbers of the two agents; the upstream under test is beside the first. */
constexpr int FirstAgent = 11;
constexpr int SecondAgent = 12;

/** What callers of the agents have seen, for the check of what reaches the upstream. */
class Observations
{
public:
    void recordSent(const std::string &id)
    {
        const std::lock_guard guard(this->mutex);
        this->sentAt[id] = Clock::now();
    }

    /** Records that the agent has passed on a leaving notice with its answer to a request. */
    void recordTold(int agent, const std::string &id)
    {
        const std::lock_guard guard(this->mutex);
        if (this->sentAt.at(id) > this->excusedAt[agent]) {
            this->toldAt.try_emplace(agent, Clock::now());
        }
    }

    /** Records that the agent was restarted or frozen, which excuses what it was told before. */
    void excuse(int agent)
    {
        const std::lock_guard guard(this->mutex);
        this->excusedAt[agent] = Clock::now();
        this->toldAt.erase(agent);
    }

    /** @return whether the request was sent later than DrainTime after its agent was told */
    bool isTooLate(const std::string &id)
    {
        const std::lock_guard guard(this->mutex);
        const auto sent = this->sentAt.find(id);
        const auto told = this->toldAt.find(std::stoi(id.substr(1)));
        return sent != this->sentAt.end() && told != this->toldAt.end() && sent->second > told->second + DrainTime;
    }

private:
    std::mutex mutex;
    std::map<std::string, Clock::time_point> sentAt;
    std::map<int, Clock::time_point> toldAt;
    std::map<int, Clock::time_point> excusedAt;
};

void sendUntil(const std::atomic<bool> &stopped,
               const PlatformMachines &machines,
               int agent,
               unsigned key,
               Observations &observations)
{
    for (unsigned number = 0; !stopped; ++number) {
        const std::string id = "n" + std::to_string(agent) + "-" + std::to_string(number);
        observations.recordSent(id);
        const Reply reply = machines.ask(agent, id, key);
        if (reply.headers.contains("server-leaving")) {
            observations.recordTold(agent, id);
        }
        std::this_thread::sleep_for(2ms);
    }
}

/** Injects one fault that the seed chooses. */
void injectFault(PlatformMachines &machines, Observations &observations, pcg32 &random)
{
    const int agent = random(2) == 0 ? FirstAgent : SecondAgent;
    Process &process = machines.agents[static_cast<std::size_t>(agent - FirstAgent)];
    switch (random(4)) {
    case 0:
        Deployment::kill(process);
        Deployment::start(process);
        observations.excuse(agent);
        break;
    case 1:
        Deployment::signal(process, SIGTERM);
        Deployment::waitForExit(process, 4s);
        Deployment::start(process);
        observations.excuse(agent);
        break;
    case 2:
        Deployment::signal(process, SIGSTOP);
        std::this_thread::sleep_for(std::chrono::milliseconds(100 + random(700)));
        Deployment::signal(process, SIGCONT);
        observations.excuse(agent);
        break;
    default:
        for (Process &control : machines.controls) {
            Deployment::kill(control);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(random(1500)));
        for (Process &control : machines.controls) {
            Deployment::start(control);
        }
        break;
    }
}

unsigned maxInWindow(const std::vector<PlatformWorker::Arrival> &arrivals)
{
    std::size_t most = 0;
    for (auto from = arrivals.begin(); from != arrivals.end(); ++from) {
        auto to = from;
        while (to != arrivals.end() && to->time < from->time + Window) {
            ++to;
        }
        most = std::max(most, static_cast<std::size_t>(to - from));
    }
    return static_cast<unsigned>(most);
}

/** Plays FaultTime of faults while the upstream states a limit, then as many while it is leaving too. */
void playFaults(std::uint64_t seed)
{
    CAPTURE(seed);
    pcg32 random(seed);
    PlatformMachines machines;
    REQUIRE(Deployment::eventually(10s, [&] {
        return machines.order(1, "PUT", "/api/config", platformManifest("00000003", "00000000")).status == 200;
    }));
    PlatformWorker &upstream = *machines.workers[0];
    REQUIRE(Deployment::eventually(10s, [&] {
        return keysHeld(upstream) > 20000 && keysHeld(*machines.workers[1]) > 20000;
    }));
    const auto key = static_cast<unsigned>(upstream.held().front()[0]);
    upstream.rateLimit = RateLimit;
    REQUIRE(machines.served(FirstAgent, key));
    REQUIRE(machines.served(SecondAgent, key));
    const std::size_t arrivedBefore = upstream.arrivals().size();
    Observations observations;
    std::atomic<bool> stopped{false};
    std::vector<std::thread> callers;
    for (const int agent : {FirstAgent, SecondAgent}) {
        callers.emplace_back([&, agent] {
            sendUntil(stopped, machines, agent, key, observations);
        });
    }
    std::size_t checked = arrivedBefore;
    unsigned tooLate = 0;
    for (const bool isLeaving : {false, true}) {
        upstream.isLeaving = isLeaving;
        for (const auto end = Clock::now() + FaultTime; Clock::now() < end;) {
            std::this_thread::sleep_for(std::chrono::milliseconds(200 + random(600)));
            const std::vector<PlatformWorker::Arrival> arrivals = upstream.arrivals();
            for (; checked < arrivals.size(); ++checked) {
                tooLate += observations.isTooLate(arrivals[checked].requestId) ? 1 : 0;
            }
            injectFault(machines, observations, random);
        }
    }
    std::this_thread::sleep_for(DrainTime);
    stopped = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    std::vector<PlatformWorker::Arrival> arrivals = upstream.arrivals();
    for (; checked < arrivals.size(); ++checked) {
        tooLate += observations.isTooLate(arrivals[checked].requestId) ? 1 : 0;
    }
    CHECK(tooLate == 0);
    arrivals.erase(arrivals.begin(), arrivals.begin() + static_cast<std::ptrdiff_t>(arrivedBefore));
    CHECK(arrivals.size() > 0);
    CHECK(maxInWindow(arrivals) <= MaxInWindow);
}

} // namespace

// Guards against notices that hold in calm times alone: agents and control are killed, stopped, frozen and restarted.
TEST_CASE("platform process: a stated rate limit and a leaving notice hold under faults, by seed", "[process]")
{
    for (std::uint64_t seed = 1; seed <= ShortSeeds; ++seed) {
        playFaults(seed);
    }
}

TEST_CASE("soak: a stated rate limit and a leaving notice hold under faults, twenty seeds", "[.soak]")
{
    for (std::uint64_t seed = 1; seed <= LongSeeds; ++seed) {
        playFaults(seed);
    }
}
