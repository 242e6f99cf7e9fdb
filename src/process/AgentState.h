#pragma once

#include "agent/CrashTracker.h"
#include "agent/Lease.h"
#include "agent/LimitShares.h"
#include "agent/LoadSketch.h"
#include "agent/Ownership.h"
#include "agent/RetryBudget.h"
#include "agent/RouteMap.h"
#include "agent/Router.h"
#include "process/AgentSettings.h"
#include "table/Table.h"

namespace bergamotweir::process {

struct AgentProtocol;

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
    agent::CrashTracker crashes;
    agent::LoadSketch load;
    agent::LimitShares limits;
    std::map<std::string, ServiceState, std::less<>> services;
    pcg32 random;
    /** Bound after the servers listen: where other agents and operators reach this one. */
    std::string peerAddress;
    std::string operatorAddress;
    /** Random, of this start of the process. */
    std::string incarnation;
    BootTime startedAt;
    /** How callers and upstreams speak. */
    const AgentProtocol *protocol = nullptr;
    /** Since when this VM's failure domain is marked out. */
    BootTime domainOutSince;
    /** Set once SIGTERM was received. */
    bool stopping = false;
};

/** @return what is kept for a service; made with the budgets of the settings when it is new */
inline ServiceState &serviceOf(AgentState &state, const std::string &name)
{
    const auto found = state.services.find(name);
    if (found != state.services.end()) {
        return found->second;
    }
    ServiceState &added = state.services[name];
    added.retries = {.ratio = state.settings.retryRatio,
                     .maxTokens = state.settings.maxRetryTokens,
                     .tokens = state.settings.maxRetryTokens};
    added.routing.maxLocalLoad = state.settings.maxLocalLoad;
    return added;
}

} // namespace bergamotweir::process
