#pragma once

#include "table/LimitBounds.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace bergamotweir::process {

struct AgentProtocol;

/** Validated settings of an agent. Port 0 lets the kernel choose a free port, unless stated otherwise. */
struct AgentSettings {
    /** Unique in the deployment. */
    std::string agentName;
    std::string failureDomain;
    /** IP address that the agent binds and advertises to others. */
    std::string address;
    /** Port for callers' requests. */
    std::uint16_t callerPort = 0;
    /** Port for requests that other agents forward. */
    std::uint16_t peerPort = 0;
    /** IP address that receives the upstream's announcements. */
    std::string announceAddress = "127.0.0.1";
    /** Port for the upstream's announcements. */
    std::uint16_t announcePort = 0;
    /** Port of the readiness check, which answers 200 or 503; 0 disables it. */
    std::uint16_t readyPort = 0;
    /** Port for operators: /healthz, /metrics, /burn. */
    std::uint16_t operatorPort = 0;
    /** IP:PORT of each control replica. */
    std::vector<std::string> controls;
    std::string logLevel = "info";
    /** Seed for all randomness of the process; 0 derives one from the clock and the agent's name. */
    std::uint64_t seed = 0;
    /** Service of the upstream beside this agent, if known in advance. */
    std::string service;
    /** IP:port of that upstream; announcements of another address are ignored. Empty accepts any address. */
    std::string upstreamAddress;
    /** Protocol of callers and upstreams; nullptr for the product's own protocol. */
    const AgentProtocol *protocol = nullptr;
    /** Time between two renewals of the lease: a fifth of its duration, so that some may be lost. */
    std::chrono::milliseconds renewInterval{100};
    /** Silence after which the session with a control replica is closed: two renewal intervals. */
    std::chrono::milliseconds controlSilenceTimeout{200};
    /** Time without a heartbeat or an answer after which an upstream counts as frozen. */
    std::chrono::milliseconds heartbeatTimeout{3500};
    /** Upper bound of a stop, regardless of requests still in progress. */
    std::chrono::milliseconds maxStopTime{std::chrono::seconds(20)};
    /** Upper bound of a stop's wait until control has reassigned the keys; after that the lease expires by itself. */
    std::chrono::milliseconds maxHandoverTime{std::chrono::seconds(8)};
    /** Time after which every grant of the previous agent process has expired. */
    std::chrono::milliseconds predecessorGrantTime{0};
    /** See agent::ServiceRouting. */
    double maxLocalLoad = 0;
    /** Retries that a service's budget gains with each first attempt. */
    double retryRatio = 0.05;
    /** Maximum number of retries that a service's budget accumulates. */
    double maxRetryTokens = 10;
    /** How far workspaces may exceed their limits; the same for all agents and replicas. */
    table::LimitBounds limitBounds = {};
};

} // namespace bergamotweir::process
