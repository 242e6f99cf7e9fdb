#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bergamotweir::process {

/** Settings of an agent, checked. Ports: 0 asks the kernel for a free one. */
struct AgentSettings {
    /** Unique in the deployment. */
    std::string agentName;
    std::string failureDomain;
    /** IP that the agent binds and tells others to reach it at. */
    std::string address;
    /** Callers' requests. */
    std::uint16_t callerPort = 0;
    /** Requests that other agents forward. */
    std::uint16_t peerPort = 0;
    /** The upstream's announcements; bound to loopback only. */
    std::uint16_t announcePort = 0;
    /** /healthz, /metrics, /burn. */
    std::uint16_t operatorPort = 0;
    /** IP:PORT of each control replica. */
    std::vector<std::string> controls;
    std::string logLevel = "info";
    /** Seeds all randomness of the process; 0 takes one from the clock and the name. */
    std::uint64_t seed = 0;
};

} // namespace bergamotweir::process
