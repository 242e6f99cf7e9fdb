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

/** Identity of a replica, and how it joins its group. */
struct Self {
    std::string id;
    /** IP:port of its replica endpoint, sent in every message as the address for the answer. */
    std::string address;
    /** Initial voters, without disk ids; used only if the disk holds neither a snapshot nor a membership entry. */
    wire::Membership initial;
    /** Whether a replica with an empty disk waits until the group adds it, instead of forming a group. */
    bool join = false;
};

/** Role of a replica in its current term. */
enum class Role { Follower, PreCandidate, Candidate, Leader };

/**
 * Raft consensus of one replica, without I/O: it takes events and the time, and returns actions.
 * It makes no system calls. Owned by ReplicaNode, or by a test that simulates the network, disk and clock.
 *
 * A replica is identified by its id and its disk id. The initial group is formed by all the replicas listed, and its
 * entry 1 records their disk ids; from then on every message is addressed to one disk. A replica that lost or replaced
 * its disk, and with it the votes and entries that it acknowledged, therefore never counts as the one that
 * acknowledged them.
 */
class RaftCore
{
public:
    /**
     * @param self identity of this replica
     * @param settings time-outs and bounds
     * @param state durable state loaded from its disk
     * @param seed seed of the random election time-outs, which differ between replicas and repeat in a replay
     * @param now current time
     */
    RaftCore(Self self, RaftSettings settings, PersistentState state, std::uint64_t seed, BootTime now);

    /** Advances the time and handles time-outs. Must be called several times per heartbeat interval. */
    void tick(BootTime now);

    /** Handles a message. Stale and malformed messages and those for another disk are ignored. */
    void receive(const wire::RaftMessage &message, BootTime now);

    /**
     * Appends a command to the log.
     * @return its term and index; none if it was not appended, because this replica is not the leader, is transferring
     *         leadership, or has too many uncommitted entries
     */
    std::optional<wire::Version> propose(std::string command);

    /** Confirms with a quorum that this replica is still the leader (ReadIndex); answered by Confirmed. */
    void confirm(RequestId request);

    /** Starts a single-server membership change; answered by MemberChanged. */
    void changeMember(RequestId request, const wire::ChangeMember &change);

    /** Transfers leadership to a voter that has caught up; answered by LeadershipTransferEnded. */
    void transferLeadership();

    /** Reports that every batch up to and including this ticket is durable. */
    void diskSynced(Ticket ticket);

    /**
     * Reports that the disk cannot be written. The core stops for good, as it can no longer make votes and acknowledged
     * entries durable.
     */
    void diskFailed();

    /**
     * Delivers the snapshot requested by TakeSnapshot.
     * @param index index of the TakeSnapshot action
     * @param data serialised state machine at that index
     */
    void snapshotTaken(std::uint64_t index, std::string data);

    /** Reports how long the state machine took to apply an entry. */
    void recordApplyTime(std::chrono::nanoseconds took);

    /** @return the actions due now. Called once after each batch of events, so that their proposals share messages. */
    std::vector<Action> takeActions();

    Role role() const;
    /** @return true if this replica is the leader and has applied every entry committed before its term */
    bool isLeader() const;
    bool stopped() const;
    std::uint64_t term() const;
    const std::string &diskId() const;
    const std::string &votedFor() const;
    /** @return the id of the leader; empty if unknown */
    const std::string &leaderId() const;
    const wire::Membership &membership() const;
    /** @return time since each of the other members has answered this leader, by id */
    std::map<std::string, std::chrono::nanoseconds> silences() const;
    /** @return ids of the learners that hold enough of the log to become voters */
    std::set<std::string> caughtUpLearners() const;
    const Log &log() const;
    std::uint64_t commitIndex() const;
    const SnapshotPtr &lastSnapshot() const;

private:
    struct DelayedMessage {
        Ticket ticket;
        SendMessage send;
    };
    struct PendingAppend {
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
        /** Index of the entry of the change; 0 while the replica to add has not reported its disk id. */
        std::uint64_t index;
        BootTime askedAt;
        BootTime deadline;
    };
    struct PendingLeadershipTransfer {
        std::string target;
        BootTime deadline;
        BootTime sentAt;
    };
    /** What has been applied since the last snapshot was requested. */
    struct AppliedWork {
        std::size_t bytes = 0;
        std::chrono::nanoseconds applyTime{0};
    };
    struct IncomingSnapshot {
        std::string from;
        std::uint64_t term;
        std::uint64_t lastIndex;
        std::uint64_t lastTerm;
        std::string data;
    };

    // RaftCore.cpp: messages, terms and disk operations.
    bool isAddressedToSelf(const wire::RaftMessage &message) const;
    bool isFromMember(const wire::RaftMessage &message) const;
    bool acceptTerm(const wire::RaftMessage &message);
    void dispatch(const wire::RaftMessage &message);
    void becomeFollower(std::uint64_t newTerm, const std::string &leader);
    void loseLeadership();
    wire::RaftMessage message(const std::string &to, const std::string &toDisk, std::uint64_t messageTerm) const;
    wire::RaftMessage answerTo(const wire::RaftMessage &request) const;
    void send(const std::string &address, wire::RaftMessage message, Ticket afterTicket);
    void sendDelayedMessages();
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
    std::uint64_t appendAsLeader(wire::EntryKind kind, std::string payload);

    // Membership.cpp: quorum and membership changes.
    bool hasLoggedMembership() const;
    bool isVoter() const;
    const wire::Replica *findMember(const std::string &id) const;
    bool hasQuorum(const std::function<bool(const wire::Replica &)> &counts) const;
    bool isSelf(const wire::Replica &replica) const;
    void rebuildProgress();
    bool hasCaughtUp(const Progress &progress) const;
    void refuseChange(RequestId request, std::string message);
    bool wouldKeepQuorum(const wire::Membership &next) const;
    std::optional<wire::Membership> membershipAfter(const wire::ChangeMember &change, std::string &refusal) const;
    void appendChange(const wire::Membership &next);
    void requestIdentity();
    void onIdentity(const wire::RaftMessage &message);
    void onMembershipCommitted(const wire::LogEntry &entry);

    // Election.cpp
    void resetElectionTimer();
    bool isVoteSynced() const;
    void onVoteSynced();
    /** @return whether a candidate other than the sender may still be elected with this replica's vote */
    bool supportsOtherCandidate(const wire::RaftMessage &message) const;
    bool leaderIsAlive() const;
    bool isUpToDate(const wire::VoteRequest &request) const;
    void startPreVote();
    void startElection(bool isTransfer);
    void requestVotes(bool preVote, bool isTransfer);
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
    void requestSnapshotIfDue();

    const Self self;
    const RaftSettings settings;
    pcg32 random;
    BootTime now;

    std::string ownDiskId;
    std::uint64_t currentTerm = 0;
    std::string vote;
    Log entries;
    SnapshotPtr snapshot;
    /** Memberships by the index of their entry; the last one is in effect. Index 0: initial list without disk ids. */
    std::map<std::uint64_t, wire::Membership> memberships;

    Role currentRole = Role::Follower;
    bool isStopped = false;
    bool termStartApplied = false;
    std::uint64_t termStartIndex = 0;
    std::string leader;
    BootTime lastLeaderContactAt;
    BootTime electionDeadline;
    std::uint64_t committedIndex = 0;
    std::uint64_t lastApplied = 0;

    std::map<std::string, std::string> votes; ///< Id to disk id of the replicas that granted their vote.
    Ticket electionTicket = 0;
    std::map<std::string, Progress> progresses;
    std::uint64_t round = 0;
    std::deque<PendingConfirm> pendingConfirms;
    std::optional<PendingChange> pendingChange;
    std::optional<PendingLeadershipTransfer> leadershipTransfer;
    std::optional<IncomingSnapshot> incomingSnapshot;
    std::uint64_t requestedSnapshotIndex = 0;
    AppliedWork sinceSnapshot;
    /** Random number of entries added to snapshotEntries, so that replicas take snapshots at different times. */
    std::uint64_t snapshotJitter = 0;
    Ticket snapshotTicket = 0;

    std::vector<DiskOperation> operations;
    Ticket issuedTicket = 0;
    Ticket syncedTicket = 0;
    Ticket voteTicket = 0;
    BootTime voteSavedAt;
    BootTime voteSyncedAt;
    /** Estimate of the time that a disk takes to sync a vote, on this replica and so on others. */
    std::chrono::nanoseconds voteSyncTime{0};
    std::uint64_t durableIndex = 0;
    std::deque<PendingAppend> pendingAppends;
    std::deque<DelayedMessage> delayedMessages;
    std::vector<Action> actions;
};

} // namespace bergamotweir::raft
