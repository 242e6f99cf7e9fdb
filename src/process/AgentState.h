#pragma once

#include "agent/CrashTracker.h"
#include "agent/Lease.h"
#include "agent/LeavingUpstreams.h"
#include "agent/LimitShares.h"
#include "agent/LoadSketch.h"
#include "agent/Ownership.h"
#include "agent/RetryBudget.h"
#include "agent/RouteMap.h"
#include "agent/Router.h"
#include "agent/SlowUpstream.h"
#include "process/AgentSettings.h"
#include "table/Table.h"

namespace bergamotweir::process {

struct AgentProtocol;

/** Routing state of one service. */
struct ServiceState {
    agent::ServiceRouting routing;
    /** Upstreams in service with a weight; rebuilt when routes, table or marks change. */
    std::vector<agent::Candidate> candidates;
    agent::RetryBudget retries;
    agent::RetryBudget hedges{.ratio = 0.03};
};

/** State of the agent as plain data, shared by the parts of its process; owned by AgentProcess. */
struct AgentState {
    AgentSettings settings;
    agent::RouteMap map;
    table::Table table;
    agent::Lease lease;
    agent::Ownership ownership;
    agent::CrashTracker crashes;
    agent::LoadSketch load;
    agent::LimitShares limits;
    agent::LeavingUpstreams leaving;
    std::map<std::string, ServiceState, std::less<>> services;
    /** Control's reports of the services' work times. */
    std::map<std::string, agent::ServiceWork, std::less<>> serviceWork;
    pcg32 random;
    /** Addresses for other agents and operators; set once the servers listen. */
    std::string peerAddress;
    std::string operatorAddress;
    /** Random number that identifies this start of the process. */
    std::string incarnation;
    BootTime startedAt;
    /** Protocol of callers and upstreams. */
    const AgentProtocol *protocol = nullptr;
    /** When this VM's failure domain was marked out of service; BootTime() if it isn't. */
    BootTime domainMarkedOutAt;
    /** Set once SIGTERM was received. */
    bool stopping = false;
};

/** @return the state of a service; created with the budgets of the settings if missing */
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
