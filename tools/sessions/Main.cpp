// Opens the control sessions of many agents from one process and measures their cost. For measurements only.

#include "agent/Lease.h"
#include "agent/RouteMap.h"
#include "base/BootClock.h"
#include "loop/EventLoop.h"
#include "rpc/ControlSession.h"

#include <getopt.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <iostream>
#include <sstream>

using namespace bergamotweir;

namespace {

constexpr std::chrono::milliseconds RenewInterval{100};

struct Settings {
    std::vector<std::string> controls;
    unsigned agents = 100;
    std::chrono::milliseconds duration{5000};
    std::chrono::milliseconds warmUp{3000};
    std::string service = "catalogue";
};

struct Counts {
    std::uint64_t renewals = 0;
    std::uint64_t updates = 0;
    std::uint64_t updateBytes = 0;
    std::vector<double> renewalMilliseconds;
};

/** The control session of one agent: announces an upstream, renews the lease and maintains the route map as an agent
 * does. */
class Agent
{
public:
    Agent(loop::EventLoop &loop, const Settings &settings, unsigned number, Counts &counts)
        : settings(settings)
        , number(number)
        , counts(counts)
    {
        rpc::ControlSessionEvents events;
        events.hello = [this] {
            return this->hello();
        };
        events.opened = [this](rpc::SessionId session) {
            this->opened(session);
        };
        events.message = [this](rpc::SessionId session, const wire::ControlMessage &message) {
            this->received(session, message);
        };
        events.closed = [this](rpc::SessionId) {
            agent::endSession(this->lease);
        };
        rpc::ControlSessionTimeouts timeouts;
        // One process with hundreds of sessions is slower than an agent, so a late answer is no sign of a failed
        // leader.
        timeouts.silenceTimeout = std::chrono::seconds(5);
        this->session = std::make_unique<rpc::ControlSession>(loop, settings.controls, std::move(events), timeouts);
    }

    void renew()
    {
        if (this->lease.session == 0) {
            return;
        }
        wire::AgentMessage message;
        this->sentAt = BootClock::now();
        this->sequence = agent::recordRenewal(this->lease, this->sentAt);
        message.mutable_renew()->set_sequence(this->sequence);
        *message.mutable_renew()->mutable_in_force() = this->map.version;
        this->session->send(message);
    }

    bool holdsLease() const
    {
        return agent::isValidAt(this->lease, BootClock::now());
    }

    std::size_t mapBytes() const
    {
        std::size_t bytes = this->map.csv.size();
        for (const auto &[id, upstream] : this->map.upstreams) {
            bytes += upstream.ByteSizeLong();
        }
        return bytes;
    }

private:
    std::string name() const
    {
        return "agent-" + std::to_string(this->number);
    }

    wire::Hello hello() const
    {
        wire::Hello hello;
        hello.set_agent(this->name());
        hello.set_failure_domain("fd-" + std::to_string(this->number % 17));
        hello.set_peer_address("127.0.0.1:1");
        hello.set_operator_address("127.0.0.1:1");
        hello.set_incarnation("one");
        *hello.mutable_seen() = this->map.version;
        return hello;
    }

    void opened(rpc::SessionId id)
    {
        agent::beginSession(this->lease, id);
        wire::AgentMessage message;
        wire::UpstreamInfo &upstream = *message.mutable_upstream();
        upstream.set_service(this->settings.service);
        upstream.set_name("upstream-" + std::to_string(this->number));
        upstream.set_agent(this->name());
        upstream.set_failure_domain("fd-" + std::to_string(this->number % 17));
        upstream.set_peer_address("127.0.0.1:1");
        upstream.set_operator_address("127.0.0.1:1");
        upstream.set_incarnation("one");
        upstream.set_slots(12);
        upstream.set_connections(130);
        upstream.set_checks_grants(true);
        upstream.set_serving(true);
        this->session->send(message);
        this->renew();
    }

    void received(rpc::SessionId id, const wire::ControlMessage &message)
    {
        if (message.has_renewed()) {
            if (agent::confirmRenewal(this->lease, id, message.renewed())) {
                ++this->counts.renewals;
            }
            if (message.renewed().sequence() == this->sequence) {
                this->counts.renewalMilliseconds.push_back(
                    std::chrono::duration<double, std::milli>(BootClock::now() - this->sentAt).count());
            }
        } else if (message.has_update()) {
            ++this->counts.updates;
            this->counts.updateBytes += message.update().ByteSizeLong();
            agent::apply(this->map, message.update());
            if (message.update().full()) {
                agent::recordFullState(this->lease, id);
            }
        } else if (message.has_revoke()) {
            wire::AgentMessage released;
            *released.mutable_released()->mutable_slices() = message.revoke().slices();
            this->session->send(released);
        }
    }

    const Settings &settings;
    const unsigned number;
    Counts &counts;
    agent::Lease lease;
    agent::RouteMap map;
    std::uint64_t sequence = 0;
    BootTime sentAt{};
    std::unique_ptr<rpc::ControlSession> session;
};

/** @return bytes of TCP payload sent and received by all sockets of this process */
std::uint64_t tcpBytes()
{
    constexpr int MaxDescriptors = 8192;
    std::uint64_t bytes = 0;
    for (int descriptor = 3; descriptor < MaxDescriptors; ++descriptor) {
        tcp_info info{};
        socklen_t length = sizeof info;
        if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) == 0) {
            // The C library's tcp_info ends before bytes_acked and bytes_received; their offset in the kernel is fixed.
            std::uint64_t counters[2] = {0, 0};
            unsigned char raw[256] = {};
            length = sizeof raw;
            getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, raw, &length);
            constexpr std::size_t BytesAckedOffset = 120;
            if (length >= BytesAckedOffset + sizeof counters) {
                std::copy_n(raw + BytesAckedOffset, sizeof counters, reinterpret_cast<unsigned char *>(counters));
            }
            bytes += counters[0] + counters[1];
        }
    }
    return bytes;
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

void usage()
{
    std::cout << "sessions --control IP:PORT,... [flags]: many agents' control sessions; prints JSON\n\n"
                 "  --agents N         sessions (100)\n"
                 "  --duration-ms N    measured (5000)\n"
                 "  --warm-up-ms N     before that (3000)\n"
                 "  --service NAME     that all upstreams announce (catalogue)\n";
}

bool readSettings(int count, char **arguments, Settings &settings)
{
    const option options[] = {{"control", required_argument, nullptr, 'c'},
                              {"agents", required_argument, nullptr, 'a'},
                              {"duration-ms", required_argument, nullptr, 'd'},
                              {"warm-up-ms", required_argument, nullptr, 'w'},
                              {"service", required_argument, nullptr, 's'},
                              {nullptr, 0, nullptr, 0}};
    for (int chosen = 0; (chosen = getopt_long(count, arguments, "", options, nullptr)) != -1;) {
        const std::string value = optarg == nullptr ? "" : optarg;
        switch (chosen) {
        case 'c': {
            std::stringstream list(value);
            for (std::string address; std::getline(list, address, ',');) {
                settings.controls.push_back(address);
            }
            break;
        }
        case 'a':
            settings.agents = static_cast<unsigned>(std::stoul(value));
            break;
        case 'd':
            settings.duration = std::chrono::milliseconds(std::stoul(value));
            break;
        case 'w':
            settings.warmUp = std::chrono::milliseconds(std::stoul(value));
            break;
        case 's':
            settings.service = value;
            break;
        default:
            return false;
        }
    }
    return !settings.controls.empty();
}

} // namespace

int main(int count, char **arguments)
{
    Settings settings;
    if (!readSettings(count, arguments, settings)) {
        usage();
        return 2;
    }
    auto loop = loop::EventLoop::create().value();
    Counts counts;
    std::vector<std::unique_ptr<Agent>> agents;
    for (unsigned number = 0; number < settings.agents; ++number) {
        agents.push_back(std::make_unique<Agent>(*loop, settings, number, counts));
        // Spreads the renewals over the interval, like those of agents that started at different times.
        loop->after(RenewInterval * number / settings.agents, [&loop, agent = agents.back().get()] {
            loop->every(RenewInterval, [agent] {
                agent->renew();
            });
        });
    }
    Counts warmUpCounts;
    std::uint64_t warmUpBytes = 0;
    loop->after(settings.warmUp, [&] {
        warmUpCounts = std::exchange(counts, Counts{});
        warmUpBytes = tcpBytes();
    });
    loop->after(settings.warmUp + settings.duration, [&] {
        loop->stop();
    });
    loop->run();
    const double seconds = std::chrono::duration<double>(settings.duration).count();
    const auto bytes = static_cast<double>(tcpBytes() - warmUpBytes);
    nlohmann::json report;
    report["agents"] = settings.agents;
    report["holding_lease"] = std::count_if(agents.begin(), agents.end(), [](const auto &agent) {
        return agent->holdsLease();
    });
    report["renewals_per_second"] = static_cast<double>(counts.renewals) / seconds;
    report["renewal_ms"] = {{"p50", quantile(counts.renewalMilliseconds, 0.5)},
                            {"p99", quantile(counts.renewalMilliseconds, 0.99)}};
    report["tcp_bytes_per_agent_second"] = bytes / settings.agents / seconds;
    report["updates"] = counts.updates;
    report["update_bytes_per_agent_second"] = static_cast<double>(counts.updateBytes) / settings.agents / seconds;
    report["warm_up_update_bytes_per_agent"] = static_cast<double>(warmUpCounts.updateBytes) / settings.agents;
    report["map_bytes"] = agents.front()->mapBytes();
    std::cout << report.dump() << '\n';
    return 0;
}
