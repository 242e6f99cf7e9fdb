#pragma once

#include "agent/Lease.h"
#include "agent/Ownership.h"
#include "agent/RouteMap.h"

#include <string>
#include <vector>

namespace bergamotweir::test {

/** An agent's own code for leases and ownership, in a fake process beside a fake upstream. */
struct FakeAgent {
    static constexpr const char *Service = "catalogue";
    static constexpr std::chrono::milliseconds RenewInterval{100};
    static constexpr std::chrono::milliseconds Silence{300};

    std::string name;
    unsigned starts = 0;
    bool running = false;
    bool reachable = true;
    BootTime frozenUntil;
    BootTime startedAt;
    /** The agent's clock runs at this rate of the leader's. */
    double clockRate = 1;
    wire::UpstreamInfo upstream;
    bool upstreamUp = true;
    bool draining = false;
    agent::Lease lease;
    agent::RouteMap map;
    agent::Ownership ownership;
    std::uint64_t session = 0;
    bool opened = false;
    std::size_t leader = 0;
    BootTime lastHeard;
    BootTime nextRenew;
    BootTime nextConnect;

    /** Names the agent and its upstream. */
    void setUp(std::size_t number, bool checksGrants);
    /** A new process, which remembers nothing. */
    void start(BootTime now);
    /** Begins a session. @return its first message */
    wire::AgentMessage connect(std::uint64_t newSession, std::size_t newLeader, BootTime now);
    void disconnect();
    /** @return what it answers at once */
    std::vector<wire::AgentMessage> receive(const wire::ControlMessage &message, BootTime now);
    /** @return what it says of its own accord at this time */
    std::vector<wire::AgentMessage> step(BootTime now);
    wire::AgentMessage announcement() const;

    /** @return whether its lease and its slices let it serve a key now */
    bool owns(std::uint64_t hash, BootTime now) const;
    bool isFrozen(BootTime now) const;

private:
    BootTime clock(BootTime now) const;
    void apply(const wire::StateUpdate &update, std::vector<wire::AgentMessage> &answers);
};

} // namespace bergamotweir::test
