#pragma once

#include "table/LimitBounds.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace bergamotweir::process {

struct AgentProtocol;

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
    /** IP that the upstream's announcements come to. */
    std::string announceAddress = "127.0.0.1";
    /** The upstream's announcements. */
    std::uint16_t announcePort = 0;
    /** Whether the agent can serve: 200 or 503; no such port when 0. */
    std::uint16_t readyPort = 0;
    /** /healthz, /metrics, /burn. */
    std::uint16_t operatorPort = 0;
    /** IP:PORT of each control replica. */
    std::vector<std::string> controls;
    std::string logLevel = "info";
    /** Seeds all randomness of the process; 0 takes one from the clock and the name. */
    std::uint64_t seed = 0;
    /** Service of the upstream beside this agent, where it is known beforehand. */
    std::string service;
    /** IP:port of that upstream; announcements of another address are left out. Empty takes any. */
    std::string upstreamAddress;
    /** How callers and upstreams speak; nullptr for the product's own protocol. */
    const AgentProtocol *protocol = nullptr;
    /** Time between two renewals of the lease: a fifth of it, so that some may be lost. */
    std::chrono::milliseconds renewInterval{100};
    /** Control that says nothing for so long is left: two renewals. */
    std::chrono::milliseconds controlSilenceTimeout{200};
    /** A stop takes no longer, whatever is still in progress. */
    std::chrono::milliseconds maxStopTime{std::chrono::seconds(20)};
    /** A stop doesn't wait longer for control to take the keys away: the lease ends by itself. */
    std::chrono::milliseconds maxHandoverTime{std::chrono::seconds(8)};
    /** After so long nothing that an agent before this one granted can still hold. */
    std::chrono::milliseconds predecessorGrantTime{0};
    /** See agent::ServiceRouting. */
    double maxLocalLoad = 0;
    /** Second sends that a service's budget earns with each first one, and the most that it saves up. */
    double retryRatio = 0.05;
    double maxRetryTokens = 10;
    /** How far workspaces may exceed their limits; the same for all agents and replicas. */
    table::LimitBounds limitBounds = {};
};

} // namespace bergamotweir::process
