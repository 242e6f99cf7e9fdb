#pragma once

#include "base/BootClock.h"
#include "control.pb.h"
#include "control/Action.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace bergamotweir::control {

/** The leader's record of one agent. */
struct AgentRecord {
    std::string name;
    std::string failureDomain;
    std::string peerAddress;
    std::string incarnation;
    /** The newest session; 0 when there is none. */
    SessionId session = 0;
    /** The full state has been sent on the session; from then on updates are sent and renewals are answered. */
    bool hasFullState = false;
    /**
     * Upper bound for the end of any lease that the agent may hold. Counted from the arrival of a renewal, which is
     * after the agent sent it, plus the drift margin.
     */
    BootTime leaseUntil;
    /** The agent is presumed alive until this moment and is not declared lost before. */
    BootTime presumedAliveUntil;
    /** Another process under this name may still hold a lease; no lease is granted before this moment. */
    BootTime leaseBlockedUntil;
    /** Upstreams of this agent that have not been announced on the session by then count as stopped. */
    BootTime announceDeadline;
    /** Forced moves in flight, which take slices from the agent without its Released; no lease is granted meanwhile. */
    unsigned forcedMovesInFlight = 0;
    /**
     * Start of the agent's process. Upstreams that don't check grants may still run work that the predecessor sent
     * before it.
     */
    BootTime startedAt;
    /** A predecessor under this name may still use shares of limits that this leader doesn't know. */
    bool hasUnknownPredecessor = false;
    /** When the work of all services was last sent to the agent. */
    BootTime workSentAt;
    /** The version of the state that the agent has applied. */
    wire::Version appliedVersion;
    /** The upstreams announced on the session, by service and name. */
    std::map<std::pair<std::string, std::string>, wire::UpstreamInfo> announced;
};

/** @return the name of one process of an agent: its name and its incarnation */
inline std::string incarnationIdOf(const std::string &agent, const std::string &incarnation)
{
    return agent + " " + incarnation;
}

inline std::string incarnationIdOf(const AgentRecord &agent)
{
    return incarnationIdOf(agent.name, agent.incarnation);
}

/** @return true while the agent may hold a lease */
inline bool mayHoldLease(const AgentRecord &agent, BootTime now)
{
    return now < agent.leaseUntil;
}

/** @return true once the agent can hold no lease and no message has come from it for a whole lease */
inline bool isLost(const AgentRecord &agent, BootTime now)
{
    return now >= agent.leaseUntil && now >= agent.presumedAliveUntil;
}

/**
 * All agents known to the leader, by name and by session.
 * Volatile, owned by the coordinator; a new leader starts from the registered upstreams.
 */
class AgentRegistry
{
public:
    std::map<std::string, AgentRecord> agents;

    /** @return the record, made when there is none */
    AgentRecord &getOrCreate(const std::string &name);
    /** @return the record, or nullptr */
    AgentRecord *find(const std::string &name);
    const AgentRecord *find(const std::string &name) const;
    /** @return the agent whose newest session this is, or nullptr */
    AgentRecord *findBySession(SessionId session);
    /** Makes a session the agent's newest one. */
    void attachSession(AgentRecord &agent, SessionId session);
    /** Ends a session; one that isn't the newest of its agent is ignored. @return the agent, or nullptr */
    AgentRecord *detachSession(SessionId session);
    void clear();

private:
    std::map<SessionId, std::string> sessions;
};

} // namespace bergamotweir::control
