#pragma once

#include "agent/Lease.h"
#include "agent/Ownership.h"
#include "agent/RouteMap.h"

#include <string>
#include <vector>

namespace bergamotweir::test {

/** A simulated agent process with a simulated upstream; leases and ownership run the agent's real code. */
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
    /** Rate of the agent's clock relative to the leader's. */
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
    BootTime nextRenewalAt;
    BootTime nextConnect;

    /** Sets the names and fixed properties of the agent and its upstream. */
    void setUp(std::size_t number, bool checksGrants);
    /** Starts a new process without any earlier state. */
    void start(BootTime now);
    /** Begins a session. @return its first message */
    wire::AgentMessage connect(std::uint64_t newSession, std::size_t newLeader, BootTime now);
    void disconnect();
    /** Handles a message of control. @return the messages that it sends in reply */
    std::vector<wire::AgentMessage> receive(const wire::ControlMessage &message, BootTime now);
    /** @return the messages that it sends at this time without being asked: renewals and releases */
    std::vector<wire::AgentMessage> step(BootTime now);
    wire::AgentMessage announcement() const;

    /** @return whether its lease and its slices allow it to serve a key now */
    bool owns(std::uint64_t hash, BootTime now) const;
    bool isFrozen(BootTime now) const;

private:
    BootTime clock(BootTime now) const;
    void apply(const wire::StateUpdate &update, std::vector<wire::AgentMessage> &answers);
};

} // namespace bergamotweir::test
