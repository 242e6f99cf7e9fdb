#pragma once

#include "base/BootClock.h"
#include "control.pb.h"
#include "control/Action.h"
#include "control/AgentRegistry.h"
#include "control/CoordinatorSettings.h"
#include "control/LimitAllocator.h"
#include "control/LoadTracker.h"
#include "control/MoveTracker.h"
#include "control/UpdateBatch.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bergamotweir::control {

class SliceMap;
class State;
struct Applied;
struct LoadCap;
struct Member;
struct SliceMove;

/** How a proposal of the coordinator ended. */
enum class ProposalOutcome {
    Applied,
    /** Not in the log, or it is unknown whether it is. */
    Lost
};

/**
 * The leader's side of leases, sessions and moves: decides when a slice may get another owner, and notifies the agents.
 * Owned by the control process. Makes no system calls: events and times are passed in, and actions are returned by
 * takeActions(). All of its data is volatile. Durable data is in State, which it reads directly and changes only
 * through proposals.
 *
 * Prevents two owners of one key, which would occur if a frozen or partitioned agent went on serving keys that have
 * been granted to another. A slice changes its owner only after the owner's agent has sent Released for the current
 * epoch, or after every lease of that agent must have ended (and, where the upstream doesn't check grants, the longest
 * deadline of work in progress has passed as well).
 */
class Coordinator
{
public:
    /** @param state read at every decision; outlives the coordinator */
    Coordinator(const CoordinatorSettings &settings, const State &state);

    /** Starts leading: this replica leads, and everything committed before has been applied. */
    void lead(BootTime now);
    /** Stops leading: this replica is no longer the leader, and every session is closed. */
    void follow();

    /** Handles a session that an agent has opened. */
    void opened(SessionId session, const wire::Hello &hello, BootTime now);
    /** Handles the end of a session. */
    void closed(SessionId session);
    /** Handles a message that arrived on a session; a Hello is ignored. */
    void received(SessionId session, const wire::AgentMessage &message, BootTime now);

    /** Handles a committed command that has been applied. Called before proposed() of the same command. */
    void applied(const Applied &applied);
    /** Handles the end of a proposal. */
    void proposed(std::uint64_t proposal, ProposalOutcome outcome);
    /** Handles the end of the confirmation round that was requested last. */
    void confirmed(bool leads, BootTime now);
    /** @param addresses where agents can find a leader: IP:port of every control replica */
    void setControls(std::vector<std::string> addresses);
    /** Handles everything that depends on time alone; called about every 20 ms. */
    void tick(BootTime now);

    /** @return the actions to carry out, in order; each action is returned once */
    std::vector<Action> takeActions();

    /** @return whether this replica leads */
    bool isLeading() const;
    const AgentRegistry &agents() const;
    const MoveTracker &moves() const;
    const LimitAllocator &limits() const;

    /** @return the number of times that the full state was built for sessions so far */
    std::uint64_t fullStateBuilds() const;

    /** @return the number of comparisons of an agent's announced upstreams with the registered ones so far */
    std::uint64_t agentChecks() const;

    /** @return agents that have applied @p version or a newer one, and agents with a serving upstream that have not */
    wire::InForceReport inForce(const wire::Version &version) const;

private:
    /** A heartbeat that is waiting for a confirmation round. */
    struct Heartbeat {
        std::uint64_t sequence = 0;
        BootTime arrivedAt;
    };

    /** The sessions and heartbeats that one confirmation round serves. */
    struct Round {
        /** Sessions to which the full state is to be sent. */
        std::vector<SessionId> opened;
        /** The newest heartbeat of each session. */
        std::unordered_map<SessionId, Heartbeat> heartbeats;

        bool empty() const
        {
            return this->opened.empty() && this->heartbeats.empty();
        }
    };

    /** The changes that a proposal in flight makes. */
    struct Proposal {
        std::vector<SliceName> slices;
        /** Agent from which an upstream and its slices are taken over; empty otherwise. */
        std::string previousAgent;
        /** Service and name; empty when no upstream changes. */
        std::pair<std::string, std::string> upstream;
        /** Agent that announced or lost that upstream; empty when no upstream changes. */
        std::string agent;
        /** Service whose slices are being split or merged; empty otherwise. */
        std::string splitService;
    };

    /** When the slices of a service are planned next, and what the last plan was based on. */
    struct ServicePlan {
        /** Something has changed since the last plan. */
        bool dirty = true;
        /** Members at the last plan. */
        std::vector<std::uint32_t> memberIds;
        BootTime membersChangedAt;
        BootTime nextCheckAt;
        bool splitInFlight = false;
        /** The next change of members is an operator's, so load is rebalanced without a delay. */
        bool rebalanceAtOnce = false;
    };

    void send(SessionId session, wire::ControlMessage message);
    /** Sends the batched updates to every agent that has the full state. */
    void sendBatch();
    std::uint64_t propose(wire::Command command, Proposal proposal);
    void endMove(const SliceName &slice, ProposalOutcome outcome);
    void startRound();
    /** Accepts the sessions that wait for the full state again, so that their agents know that this leader is working.
     */
    void repeatAcceptances(BootTime now);
    void sendFullState(const std::vector<SessionId> &sessions);
    const std::shared_ptr<const wire::ControlMessage> &currentFullState();
    void renew(AgentRecord &agent, const Heartbeat &heartbeat, BootTime now);
    bool canRenew(const AgentRecord &agent, BootTime now) const;
    /** @return whether every agent that may use shares of limits has reported them to this leader */
    bool allLimitsReported() const;
    bool mustPrecedeLease(const wire::UpstreamInfo &upstream) const;
    void sendRevokes(const std::vector<SliceName> &slices);
    void resendRevokes(const AgentRecord &agent);
    void receivedUpstream(AgentRecord &agent, const wire::UpstreamInfo &announced);
    void receivedReleased(const AgentRecord &agent, const wire::Released &released);
    void proposeUpstream(const wire::UpstreamInfo &upstream, const std::string &previousAgent);
    /** Checks the agents whose upstreams may differ from the registered ones, and from time to time all agents. */
    void checkAgents(BootTime now);
    /** Registers the upstreams that an agent has announced. @return whether all of them are registered */
    bool reconcile(AgentRecord &agent, BootTime now);
    bool canMoveToAgent(const wire::UpstreamInfo &registered, const AgentRecord &agent, BootTime now) const;
    /** @return whether @p candidate is a process that started after the upstream and listens at its address */
    static bool replacesUpstream(const wire::UpstreamInfo &candidate, const wire::UpstreamInfo &upstream);
    bool retireUnannounced(AgentRecord &agent, BootTime now);
    void retireLost(BootTime now);
    std::chrono::nanoseconds maxWorkTime(const wire::UpstreamInfo &upstream) const;

    void planServices(BootTime now);
    void planService(const std::string &service, const SliceMap &map, BootTime now);
    std::vector<Member> membersOf(const std::string &service, BootTime now);
    /** @return the weight by which an upstream may own slices now; 0 when it may not */
    double weightOf(const wire::UpstreamInfo &upstream, BootTime now) const;
    void recordMembers(ServicePlan &servicePlan, const std::vector<Member> &members, BootTime now) const;
    /** @return how much more load the members could take before they are busy; see LoadTracker::headroom() */
    double headroomOf(const std::string &service, const std::vector<Member> &members, BootTime now) const;
    /** @return the largest shares of the service's load for the members whose upstreams state a rate limit */
    std::vector<LoadCap> loadCaps(const std::string &service, const std::vector<Member> &members) const;
    /** Summarizes the work of all services for the agents. */
    void summarizeWork(BootTime now);
    bool
    proposeSplits(const std::string &service, const SliceMap &map, const std::vector<Member> &members, BootTime now);
    std::vector<SliceMove>
    wantedMoves(const std::string &service, const SliceMap &map, const std::vector<Member> &members, BootTime now);
    /** Reassigns the slices of an upstream whose process has ended to the process that now listens at its address. */
    void reassignToSuccessors(const std::string &service, const SliceMap &map, BootTime now);
    /** @return the upstream that now listens at the ended one's address and may own slices; 0 for none */
    std::uint32_t successorOf(std::uint32_t ended, BootTime now) const;
    void beginMoves(const std::string &service,
                    const SliceMap &map,
                    const std::vector<SliceMove> &wanted,
                    const std::vector<Member> &members,
                    BootTime now);
    /** @return whether no work can still be running on slices of an owner, so that they may be granted at once */
    bool isSafeToReassign(std::uint32_t owner, BootTime now) const;
    void forceMovesOfLost(BootTime now);
    /** Lets a move proceed without Released, and withholds the agent's lease until the move is committed. */
    void forceMove(Move &move);
    bool canReceiveSlices(std::uint32_t upstream, BootTime now) const;
    void proposeReleased(BootTime now);

    CoordinatorSettings settings;
    const State &state;
    bool leading = false;
    bool roundInFlight = false;
    AgentRegistry agentRegistry;
    MoveTracker moveTracker;
    LoadTracker loadTracker;
    LimitAllocator limitAllocator;
    Round nextRound;
    Round currentRound;
    std::map<std::uint64_t, Proposal> proposals;
    std::set<std::pair<std::string, std::string>> upstreamsInFlight;
    /** Names of agents whose announced upstreams may differ from the registered ones. */
    std::set<std::string> unsettledAgents;
    BootTime allAgentsCheckAt;
    std::uint64_t agentChecksTotal = 0;
    std::map<std::string, ServicePlan> servicePlans;
    std::uint64_t lastProposal = 0;
    UpdateBatch batch;
    std::vector<std::string> controls;
    /** The full state sent last, for the sessions that begin before the state changes; nullptr when there is none. */
    std::shared_ptr<const wire::ControlMessage> fullState;
    wire::Version fullStateVersion;
    std::uint64_t fullStatesBuilt = 0;
    /** Work of all services, for the next renewal of each agent. */
    std::vector<wire::ServiceWork> serviceWork;
    BootTime workSummarizedAt;
    BootTime lastTickAt;
    /** When the waiting sessions were last accepted again. */
    BootTime acceptancesRepeatedAt;
    std::vector<Action> actions;
};

} // namespace bergamotweir::control
