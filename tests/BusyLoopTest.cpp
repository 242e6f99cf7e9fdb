#include "FakeReplica.h"
#include "PlatformMachines.h"
#include "RequestFlood.h"
#include "SilentListener.h"
#include "net/HttpClient.h"
#include "rpc/ControlSession.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <fstream>
#include <thread>

using namespace bergamotweir;
using namespace std::chrono_literals;
using std::chrono::steady_clock;

namespace {

void work(std::chrono::microseconds duration)
{
    const auto end = steady_clock::now() + duration;
    while (steady_clock::now() < end) { }
}

/** Descriptors that are always ready for reading; each event takes a fixed time to handle. */
class BusyDescriptors
{
public:
    BusyDescriptors(loop::EventLoop &loop, std::size_t count, std::chrono::microseconds workPerEvent)
        : loop(loop)
    {
        for (std::size_t index = 0; index < count; ++index) {
            const int descriptor = eventfd(1, EFD_NONBLOCK | EFD_CLOEXEC);
            this->descriptors.push_back(descriptor);
            loop.watch(descriptor, {.readable = true}, [workPerEvent](loop::Readiness) {
                work(workPerEvent);
            });
        }
    }

    ~BusyDescriptors()
    {
        for (const int descriptor : this->descriptors) {
            this->loop.unwatch(descriptor);
            close(descriptor);
        }
    }

    BusyDescriptors(const BusyDescriptors &) = delete;
    BusyDescriptors &operator=(const BusyDescriptors &) = delete;

private:
    loop::EventLoop &loop;
    std::vector<int> descriptors;
};

/**
 * @param makeWork makes work for the loop; what it returns is kept until the loop has stopped
 * @return the longest time that a descriptor of high priority waited
 */
std::chrono::nanoseconds longestWait(const std::function<std::shared_ptr<void>(loop::EventLoop &)> &makeWork)
{
    auto loop = loop::EventLoop::create().value();
    const int descriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    std::atomic<bool> stopping{false};
    std::atomic<bool> unread{false};
    std::atomic<steady_clock::duration> written{};
    std::chrono::nanoseconds longest{0};
    loop->watch(
        descriptor,
        {.readable = true},
        [&](loop::Readiness) {
            eventfd_t value = 0;
            eventfd_read(descriptor, &value);
            longest = std::max(longest, steady_clock::now().time_since_epoch() - written.load());
            unread = false;
        },
        loop::WatchPriority::High);
    std::thread writer([&] {
        while (!stopping) {
            if (!unread.exchange(true)) {
                written = steady_clock::now().time_since_epoch();
                eventfd_write(descriptor, 1);
            }
            std::this_thread::sleep_for(20ms);
        }
    });
    std::shared_ptr<void> usedByWork;
    loop->post([&] {
        usedByWork = makeWork(*loop);
    });
    loop->after(1500ms, [&] {
        loop->stop();
    });
    loop->run();
    stopping = true;
    writer.join();
    loop->unwatch(descriptor);
    close(descriptor);
    return longest;
}

/** One event of each takes 1.2 s in all. */
constexpr std::size_t BusyCount = 600;
constexpr auto WorkPerEvent = 2ms;

/** @return when an agent logged that the routes of a revision, or of a later one, are in force */
std::optional<std::chrono::system_clock::time_point> inForceAt(const std::string &logFile, std::uint64_t revision)
{
    std::ifstream log(logFile);
    for (std::string line; std::getline(log, line);) {
        const auto event = nlohmann::json::parse(line, nullptr, false);
        if (!event.is_object() || event.value("event", "") != "routes in force" || event["revision"] < revision) {
            continue;
        }
        const std::string time = event["time"];
        std::tm date{};
        strptime(time.c_str(), "%Y-%m-%dT%H:%M:%S", &date);
        return std::chrono::system_clock::from_time_t(timegm(&date))
               + std::chrono::milliseconds(std::stoi(time.substr(time.find('.') + 1, 3)));
    }
    return std::nullopt;
}

} // namespace

// Guards against renewals and time-outs that are late by a round of all busy connections.
TEST_CASE("a timer of a loop with 600 busy connections runs in time")
{
    auto loop = loop::EventLoop::create().value();
    const BusyDescriptors busy(*loop, BusyCount, WorkPerEvent);
    const auto startedAt = steady_clock::now();
    loop->after(100ms, [&] {
        loop->stop();
    });
    loop->run();
    CHECK(steady_clock::now() - startedAt < 300ms);
}

// Guards against a session that is not read while the time limits of many requests pass at once.
TEST_CASE("a descriptor of high priority is served in time while 600 timers are due")
{
    CHECK(longestWait([](loop::EventLoop &loop) {
              for (std::size_t index = 0; index < BusyCount; ++index) {
                  loop.after(100ms, [] {
                      work(WorkPerEvent);
                  });
              }
              return nullptr;
          })
          < 200ms);
}

// Guards against a session that is not read while many answers are handed over at once.
TEST_CASE("a descriptor of high priority is served in time while 600 tasks are posted")
{
    CHECK(longestWait([](loop::EventLoop &loop) {
              for (std::size_t index = 0; index < BusyCount; ++index) {
                  loop.post([] {
                      work(WorkPerEvent);
                  });
              }
              return nullptr;
          })
          < 200ms);
}

// Guards against a session that is not read while the time limits of many forwarded requests pass at once.
TEST_CASE("a descriptor of high priority is served in time while 600 calls time out")
{
    const test::SilentListener peer;
    CHECK(longestWait([&](loop::EventLoop &loop) {
              net::HttpClientSettings settings;
              settings.maxConnectionsPerPeer = BusyCount;
              auto client = std::make_shared<net::HttpClient>(loop, settings);
              for (std::size_t index = 0; index < BusyCount; ++index) {
                  net::HttpCall call;
                  call.address = peer.address();
                  call.method = "GET";
                  call.target = "/";
                  call.timeout = 300ms;
                  client->send(std::move(call), [](const net::CallResult &) {
                      work(WorkPerEvent);
                  });
              }
              return client;
          })
          < 200ms);
}

// Guards against an agent that loses its session, or acts on old routes, because it reads the session after everything
// else.
TEST_CASE("an agent with 600 busy connections opens a session at once and keeps it")
{
    test::FakeReplica leader;
    auto loop = loop::EventLoop::create().value();
    const BusyDescriptors busy(*loop, BusyCount, WorkPerEvent);
    std::unique_ptr<rpc::ControlSession> session;
    std::uint64_t renewals = 0;
    std::uint64_t answered = 0;
    unsigned opened = 0;
    unsigned closed = 0;
    rpc::ControlSessionEvents events;
    events.hello = [] {
        return wire::Hello();
    };
    events.opened = [&](rpc::SessionId) {
        ++opened;
    };
    events.message = [&](rpc::SessionId, const wire::ControlMessage &message) {
        answered = std::max(answered, message.renewed().sequence());
    };
    events.closed = [&](rpc::SessionId) {
        ++closed;
    };
    session = std::make_unique<rpc::ControlSession>(
        *loop, std::vector{leader.address()}, events, rpc::ControlSessionTimeouts{.silenceTimeout = 600ms});
    loop->every(100ms, [&] {
        wire::AgentMessage renew;
        renew.mutable_renew()->set_sequence(++renewals);
        session->send(renew);
    });
    loop->after(1s, [&] {
        CHECK(opened == 1);
    });
    loop->after(4s, [&] {
        loop->stop();
    });
    loop->run();
    CHECK(opened == 1);
    CHECK(closed == 0);
    CHECK(renewals >= 30);
    CHECK(answered + 3 >= renewals);
}

// Guards against old routes at an agent that gets more requests than it can handle.
TEST_CASE("platform process: an agent that is overloaded by requests has each change in force within two seconds",
          "[process]")
{
    test::PlatformMachines machines;
    const auto put = [&](unsigned version) {
        std::array<char, 9> text{};
        std::array<char, 9> base{};
        std::snprintf(text.data(), text.size(), "%08x", version);
        std::snprintf(base.data(), base.size(), "%08x", version - 1);
        return machines.order(1, "PUT", "/api/config", test::platformManifest(text.data(), base.data())).status == 200;
    };
    REQUIRE(test::Deployment::eventually(10s, [&] {
        return put(1);
    }));
    REQUIRE(machines.served(11, 0));
    const test::Throttle throttle(machines.agents[0].pid);
    const test::RequestFlood flood(machines.ip(11) + ":8629",
                                   2000,
                                   "GET /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: flood\r\n"
                                   "X-Deadline-Ms: 2000\r\nX-Shard-Key: 7\r\n\r\n");
    REQUIRE(test::Deployment::eventually(15s, [&] {
        return flood.answers() > 2000;
    }));
    std::map<unsigned, std::chrono::system_clock::time_point> acknowledgedAt;
    for (unsigned version = 2; version <= 11; ++version) {
        REQUIRE(put(version));
        acknowledgedAt[version] = std::chrono::system_clock::now();
        std::this_thread::sleep_for(500ms);
    }
    std::this_thread::sleep_for(2s);
    for (const auto &[version, acknowledged] : acknowledgedAt) {
        const auto inForce = inForceAt(machines.agents[0].logFile, version);
        INFO("revision " << version);
        CHECK(inForce.value_or(std::chrono::system_clock::time_point::max()) - acknowledged <= 2s);
    }
}
