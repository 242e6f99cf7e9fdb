#pragma once

#include "base/BootClock.h"
#include "control.pb.h"
#include "raft/Action.h"
#include "raft/Log.h"
#include "raft/Progress.h"
#include "raft/RaftSettings.h"

#include <pcg_random.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bergamotweir::raft {

/** Who a replica is, and how it comes into its group. */
struct Self {
    std::string id;
    /** IP:port of its replica endpoint, sent along so that answers find it. */
    std::string address;
    /** The first voters, without disk ids; read only while nothing is on disk. */
    wire::Membership initial;
    /** With nothing on disk, wait to be added. */
    bool join = false;
};

/** What a replica is in its term. */
enum class Role { Follower, PreCandidate, Candidate, Leader };

/**
 * Consensus in the style of Raft for one replica: events and the time go in, actions come out.
 * It makes no system call. Owned by ReplicaNode, or by a test that plays network, disk and clock.
 *
 * A replica is its id together with its disk id. The first group is formed by all the replicas listed and binds their
 * disk ids in entry 1; from then on a message is for one disk only. So a replica that lost or swapped its disk, and
 * with it the votes and entries it acknowledged, is never counted as the one that acknowledged them.
 */
class RaftCore
{
public:
    /**
     * @param self who this replica is
     * @param settings times and bounds
     * @param state what was found on its disk
     * @param seed makes election timeouts differ between replicas, and be the same again in a replay
     * @param now present time
     */
    RaftCore(Self self, RaftSettings settings, PersistentState state, std::uint64_t seed, BootTime now);

    /** Lets time pass; called a few times per heartbeat. */
    void tick(BootTime now);

    /** Handles a message; one that is stale, malformed or for another disk is ignored. */
    void receive(const wire::RaftMessage &message, BootTime now);

    /** @return the place of the command in the log; none when it surely isn't there: not leader, handing over, full */
    std::optional<wire::Version> propose(std::string command);

    /** Asks a quorum whether this replica still leads; answered by Confirmed. */
    void confirm(RequestId request);

    /** Begins a membership change; answered by MemberChanged. */
    void changeMember(RequestId request, const wire::ChangeMember &change);

    /** Gives leadership to a caught-up voter; answered by LeadershipTransferEnded. */
    void transferLeadership();

    /** Everything up to this ticket is on disk. */
    void diskSynced(Ticket ticket);

    /** The disk can't be written: this replica acts no more, for what it promised may be gone. */
    void diskFailed();

    /** @param index what TakeSnapshot named @param data the state machine there */
    void snapshotTaken(std::uint64_t index, std::string data);

    /** @return what is to be done now; called after each turn of events, as it also gathers their proposals */
    std::vector<Action> takeActions();

    Role role() const;
    /** @return leads and has applied everything committed before its term */
    bool isLeader() const;
    bool stopped() const;
    std::uint64_t term() const;
    const std::string &diskId() const;
    const std::string &votedFor() const;
    /** @return empty when unknown */
    const std::string &leaderId() const;
    const wire::Membership &membership() const;
    /** @return ids of the other members that have not answered this leader for longer than @p timeout */
    std::set<std::string> unresponsiveMembers(std::chrono::nanoseconds timeout) const;
    const Log &log() const;
    std::uint64_t commitIndex() const;
    const SnapshotPtr &lastSnapshot() const;

private:
    struct Held {
        Ticket ticket;
        SendMessage send;
    };
    struct Appended {
        Ticket ticket;
        std::uint64_t lastIndex;
    };
    struct PendingConfirm {
        RequestId request;
        std::uint64_t round;
    };
    struct PendingChange {
        RequestId request;
        wire::Replica replica;
        /** 0 while the replica to be added is asked for its disk id. */
        std::uint64_t index;
        BootTime askedAt;
        BootTime deadline;
    };
    struct PendingLeadershipTransfer {
        std::string target;
        BootTime deadline;
        BootTime sentAt;
    };
    struct IncomingSnapshot {
        std::string from;
        std::uint64_t term;
        std::uint64_t lastIndex;
        std::uint64_t lastTerm;
        std::string data;
    };

    // RaftCore.cpp: messages, terms, disk.
    bool isForMe(const wire::RaftMessage &message) const;
    bool isKnownSender(const wire::RaftMessage &message) const;
    bool acceptTerm(const wire::RaftMessage &message);
    void dispatch(const wire::RaftMessage &message);
    void becomeFollower(std::uint64_t newTerm, const std::string &leader);
    void loseLeadership();
    wire::RaftMessage message(const std::string &to, const std::string &toDisk, std::uint64_t messageTerm) const;
    wire::RaftMessage answerTo(const wire::RaftMessage &request) const;
    void send(const std::string &address, wire::RaftMessage message, Ticket afterTicket);
    void sendHeld();
    template<typename OneAction>
    void emit(OneAction action)
    {
        this->actions.emplace_back(std::in_place_type<OneAction>, std::move(action));
    }
    template<typename OneOperation>
    void write(OneOperation operation)
    {
        this->operations.emplace_back(std::in_place_type<OneOperation>, std::move(operation));
    }
    Ticket nextTicket() const;
    void saveVote();
    void truncateFrom(std::uint64_t index);
    void appendEntry(wire::LogEntry entry);
    std::uint64_t appendOwn(wire::EntryKind kind, std::string payload);

    // Membership.cpp: who counts, and changes of it.
    bool hasLoggedMembership() const;
    bool isVoter() const;
    const wire::Replica *findMember(const std::string &id) const;
    bool hasQuorum(const std::function<bool(const wire::Replica &)> &counts) const;
    bool isSelf(const wire::Replica &replica) const;
    void rebuildProgress();
    void refuseChange(RequestId request, std::string message);
    bool wouldKeepQuorum(const wire::Membership &next) const;
    std::optional<wire::Membership> membershipAfter(const wire::ChangeMember &change, std::string &refusal) const;
    void appendChange(const wire::Membership &next);
    void askIdentity();
    void onIdentity(const wire::RaftMessage &message);
    void onMembershipCommitted(const wire::LogEntry &entry);

    // Election.cpp
    void resetElectionTimer();
    bool leaderIsAlive() const;
    bool isUpToDate(const wire::VoteRequest &request) const;
    void startPreVote();
    void startElection(bool handedOver);
    void requestVotes(bool preVote, bool handedOver);
    void countVotes();
    void becomeLeader();
    void onVoteRequest(const wire::RaftMessage &message);
    void onPreVoteRequest(const wire::RaftMessage &message);
    void onVoteReply(const wire::RaftMessage &message);
    void onLeadershipTransfer();
    void checkQuorum();
    void continueLeadershipTransfer();
    const Progress *leadershipTransferTarget() const;

    // Replication.cpp
    void replicate();
    void sendEntries(Progress &progress);
    void sendHeartbeat(Progress &progress);
    wire::RaftMessage appendMessage(const Progress &progress, std::uint64_t previousIndex) const;
    void onAppendRequest(const wire::RaftMessage &message);
    void rejectAppend(const wire::RaftMessage &message);
    void onAppendReply(const wire::RaftMessage &message);
    void recordAnswer(Progress &progress, std::uint64_t round);
    void followLeader(const wire::RaftMessage &message);
    void advanceCommit();
    void applyThrough(std::uint64_t index);
    void checkConfirms();

    // SnapshotTransfer.cpp
    void sendChunk(Progress &progress);
    void startSnapshot(Progress &progress);
    void onSnapshotChunk(const wire::RaftMessage &message);
    void onSnapshotReply(const wire::RaftMessage &message);
    void replySnapshot(const wire::RaftMessage &request, std::uint64_t nextOffset, bool installed);
    void install(SnapshotPtr received);
    void wantSnapshot();

    const Self self;
    const RaftSettings settings;
    pcg32 random;
    BootTime now;

    std::string ownDisk;
    std::uint64_t currentTerm = 0;
    std::string vote;
    Log entries;
    SnapshotPtr snapshot;
    /** Memberships by the index of their entry; the last one is in force. Index 0: the unbound initial list. */
    std::map<std::uint64_t, wire::Membership> memberships;

    Role currentRole = Role::Follower;
    bool isStopped = false;
    bool termStartApplied = false;
    std::uint64_t termStartIndex = 0;
    std::string leader;
    BootTime lastLeaderContact;
    BootTime electionDeadline;
    std::uint64_t commit = 0;
    std::uint64_t applied = 0;

    std::map<std::string, std::string> votes; ///< Id to disk id of the replicas that granted.
    Ticket electionTicket = 0;
    std::map<std::string, Progress> progresses;
    std::uint64_t round = 0;
    std::deque<PendingConfirm> confirms;
    std::optional<PendingChange> change;
    std::optional<PendingLeadershipTransfer> leadershipTransfer;
    std::optional<IncomingSnapshot> incoming;
    std::uint64_t snapshotWanted = 0;
    /** Entries more than the setting until the next snapshot; differs between replicas. */
    std::uint64_t snapshotDelay = 0;
    Ticket snapshotTicket = 0;

    std::vector<DiskOperation> operations;
    Ticket issuedTicket = 0;
    Ticket syncedTicket = 0;
    Ticket voteTicket = 0;
    std::uint64_t durableIndex = 0;
    std::deque<Appended> appended;
    std::deque<Held> held;
    std::vector<Action> actions;
};

} // namespace bergamotweir::raft
