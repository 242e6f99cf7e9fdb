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
struct Member;
struct SliceMove;

/** How a proposal of the coordinator ended. */
enum class ProposalOutcome {
    Applied,
    /** Not in the log, or nobody knows whether it is. */
    Lost
};

/**
 * The leader's side of leases, sessions and moves: decides when a slice may get another owner, and tells the agents.
 * Owned by the control process; makes no system call: events and times come in, actions go out by takeActions().
 * Everything in it is volatile. What must survive is in State, which it reads and changes through proposals only.
 *
 * Guards against two owners of one key, which shows when a frozen or cut-off agent goes on serving keys that another
 * has been granted. A slice changes hands only when its owner's agent has said Released for its present epoch, or when
 * no lease of that agent can still hold (and, where the upstream doesn't check grants, the longest deadline of work
 * in progress has passed as well).
 */
class Coordinator
{
public:
    /** @param state read at every decision; outlives the coordinator */
    Coordinator(const CoordinatorSettings &settings, const State &state);

    /** This replica leads, and everything committed before has been applied. */
    void lead(BootTime now);
    /** This replica leads no longer: every session is closed. */
    void follow();

    /** An agent opened a session. */
    void opened(SessionId session, const wire::Hello &hello, BootTime now);
    /** A session ended. */
    void closed(SessionId session);
    /** A message came on a session; a Hello means nothing here. */
    void received(SessionId session, const wire::AgentMessage &message, BootTime now);

    /** A committed command was applied. Called before proposed() of the same command. */
    void applied(const Applied &applied);
    /** A proposal ended. */
    void proposed(std::uint64_t proposal, ProposalOutcome outcome);
    /** The confirmation round asked for last ended. */
    void confirmed(bool leads, BootTime now);
    /** @param addresses where agents may look for a leader: IP:port of every control replica */
    void setControls(std::vector<std::string> addresses);
    /** Looks at everything that time alone brings about; to be called every 20 ms or so. */
    void tick(BootTime now);

    /** @return what is to be done, in order; each action is handed out once */
    std::vector<Action> takeActions();

    /** @return whether this replica leads */
    bool isLeading() const;
    const AgentRegistry &agents() const;
    const MoveTracker &moves() const;
    const LimitAllocator &limits() const;

    /** @return agents that act on @p version or a newer one, and agents with a serving upstream that don't */
    wire::InForceReport inForce(const wire::Version &version) const;

private:
    /** A heartbeat that waits for a confirmation round. */
    struct Heartbeat {
        std::uint64_t sequence = 0;
        BootTime arrival;
    };

    /** What one confirmation round is for. */
    struct Round {
        /** Sessions to be told the full state. */
        std::vector<SessionId> opened;
        /** The newest heartbeat of each session. */
        std::unordered_map<SessionId, Heartbeat> heartbeats;

        bool empty() const
        {
            return this->opened.empty() && this->heartbeats.empty();
        }
    };

    /** What a proposal in flight decides. */
    struct Proposal {
        std::vector<SliceName> slices;
        /** Agent that an upstream, and with it its slices, is taken over from; empty otherwise. */
        std::string previousAgent;
        /** Service and name; empty when no upstream changes. */
        std::pair<std::string, std::string> upstream;
        /** Service whose slices are being cut; empty otherwise. */
        std::string splits;
    };

    /** When a service was looked at, and whether there is a reason to look again. */
    struct Watch {
        bool dirty = true;
        /** Members at the last look. */
        std::vector<std::uint32_t> memberIds;
        BootTime membersChanged;
        BootTime nextCheckAt;
        bool splitting = false;
        /** The next change of members comes from an operator. */
        bool rebalanceAtOnce = false;
    };

    void send(SessionId session, wire::ControlMessage message);
    /** Sends the changes that wait to every agent that has the full state. */
    void sendBatch();
    std::uint64_t propose(wire::Command command, Proposal proposal);
    void endMove(const SliceName &slice, ProposalOutcome outcome);
    void startRound();
    void sendFullState(const std::vector<SessionId> &sessions);
    void renew(AgentRecord &agent, const Heartbeat &heartbeat, BootTime now);
    bool canRenew(const AgentRecord &agent, BootTime now) const;
    /** @return whether every agent that may use shares of limits has told them to this leader */
    bool allLimitsReported() const;
    bool mustPrecedeLease(const wire::UpstreamInfo &upstream) const;
    void sendRevokes(const std::vector<SliceName> &slices);
    void resendRevokes(const AgentRecord &agent);
    void receivedUpstream(AgentRecord &agent, const wire::UpstreamInfo &announced);
    void receivedReleased(const AgentRecord &agent, const wire::Released &released);
    void proposeUpstream(const wire::UpstreamInfo &upstream, const std::string &previousAgent);
    void reconcile(AgentRecord &agent, BootTime now);
    bool canMoveToAgent(const wire::UpstreamInfo &registered, const AgentRecord &agent, BootTime now) const;
    /** @return whether another process that the agent announced has taken the upstream's address since */
    static bool replacesUpstream(const wire::UpstreamInfo &later, const wire::UpstreamInfo &upstream);
    void retireUnannounced(AgentRecord &agent, BootTime now);
    void retireLost(BootTime now);
    std::chrono::nanoseconds maxWorkTime(const wire::UpstreamInfo &upstream) const;

    void planAll(BootTime now);
    void planService(const std::string &service, const SliceMap &map, BootTime now);
    std::vector<Member> membersOf(const std::string &service, BootTime now);
    /** @return the weight by which an upstream may own slices now; 0 when it may not */
    double weightOf(const wire::UpstreamInfo &upstream, BootTime now) const;
    void recordMembers(Watch &watch, const std::vector<Member> &members, BootTime now) const;
    bool proposeSplits(const std::string &service, const SliceMap &map, std::size_t memberCount, BootTime now);
    std::vector<SliceMove>
    wantedMoves(const std::string &service, const SliceMap &map, const std::vector<Member> &members, BootTime now);
    /** Gives the slices of upstreams whose process has ended to the process that took its address. */
    void passToSuccessors(const std::string &service, const SliceMap &map, BootTime now);
    /** @return the upstream that listens at the ended one's address now and takes work; 0 for none */
    std::uint32_t successorOf(std::uint32_t ended, BootTime now) const;
    void beginMoves(const std::string &service,
                    const SliceMap &map,
                    const std::vector<SliceMove> &wanted,
                    const std::vector<Member> &members,
                    BootTime now);
    /** @return whether nobody can still be working on the slice of an owner, so that it may be granted at once */
    bool isSafeToReassign(std::uint32_t owner, BootTime now) const;
    void forceMovesOfLost(BootTime now);
    /** Notes that a move needs no Released, and holds back the agent's lease until it's committed. */
    void forceMove(Move &move);
    bool canReceiveSlices(std::uint32_t upstream, BootTime now) const;
    void commitReleased(BootTime now);

    CoordinatorSettings settings;
    const State &state;
    bool leading = false;
    bool roundInFlight = false;
    AgentRegistry agentRegistry;
    MoveTracker moveTracker;
    LoadTracker loads;
    LimitAllocator limitAllocator;
    Round waiting;
    Round inRound;
    std::map<std::uint64_t, Proposal> proposals;
    std::set<std::pair<std::string, std::string>> upstreamsInFlight;
    std::map<std::string, Watch> watches;
    std::uint64_t lastProposal = 0;
    UpdateBatch batch;
    std::vector<std::string> controls;
    BootTime lastTick;
    std::vector<Action> actions;
};

} // namespace bergamotweir::control
