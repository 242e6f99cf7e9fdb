#pragma once

#include "agent/CrashWatch.h"
#include "agent/Lease.h"
#include "agent/LoadSketch.h"
#include "agent/Ownership.h"
#include "agent/RetryBudget.h"
#include "agent/RouteMap.h"
#include "agent/Router.h"
#include "process/AgentSettings.h"
#include "table/Table.h"

namespace bergamotweir::process {

/** What an agent keeps per service for routing. */
struct ServiceState {
    agent::ServiceRouting routing;
    /** Upstreams in service with a weight; made anew when routes, table or marks change. */
    std::vector<agent::Candidate> candidates;
    agent::RetryBudget retries;
    agent::RetryBudget hedges{.ratio = 0.03};
};

/** The agent's decisions as plain data, shared by the parts of its process; owned by AgentProcess. */
struct AgentState {
    AgentSettings settings;
    agent::RouteMap map;
    table::Table table;
    agent::Lease lease;
    agent::Ownership ownership;
    agent::CrashWatch crashes;
    agent::LoadSketch load;
    std::map<std::string, ServiceState, std::less<>> services;
    pcg32 random;
    /** Bound after the servers listen: where other agents and operators reach this one. */
    std::string peerAddress;
    std::string operatorAddress;
    /** Random, of this start of the process. */
    std::string incarnation;
    BootTime startedAt;
    /** Set once SIGTERM was received. */
    bool stopping = false;
};

} // namespace bergamotweir::process
