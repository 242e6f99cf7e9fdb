#include "raft/RaftCore.h"

#include <algorithm>

namespace bergamotweir::raft {

void RaftCore::resetElectionTimer()
{
    const std::chrono::milliseconds spread = this->settings.electionTimeoutMax - this->settings.electionTimeoutMin;
    const std::chrono::milliseconds extra(this->random(static_cast<std::uint32_t>(spread.count()) + 1));
    this->electionDeadline = this->now + this->settings.electionTimeoutMin + extra;
    if (this->currentRole == Role::Candidate) {
        // The voters answer once their votes have been synced.
        this->electionDeadline += this->voteSyncTime;
    }
}

bool RaftCore::isVoteSynced() const
{
    return this->voteTicket <= this->syncedTicket;
}

/*
 * Starts the election timer again when the vote leaves this replica. Where a sync takes about as long as the election
 * timeout, a timer that runs from the decision expires before any candidate can be elected, and the next election
 * deposes the leader that has just been elected.
 */
void RaftCore::onVoteSynced()
{
    const std::chrono::nanoseconds longest = 2 * this->settings.electionTimeoutMax;
    const std::chrono::nanoseconds measured = std::min(this->now - this->voteSavedAt, longest);
    this->voteSyncTime = std::max(measured, this->voteSyncTime / 2);
    this->voteSyncedAt = this->now;
    if (this->currentRole != Role::Leader) {
        this->resetElectionTimer();
    }
}

bool RaftCore::supportsOtherCandidate(const wire::RaftMessage &message) const
{
    if (this->vote.empty() || this->vote == message.from() + "/" + message.from_disk()) {
        return false;
    }
    return !this->isVoteSynced() || this->now - this->voteSyncedAt < this->settings.electionTimeoutMin;
}

bool RaftCore::leaderIsAlive() const
{
    if (this->currentRole == Role::Leader) {
        return true;
    }
    return !this->leader.empty() && this->now - this->lastLeaderContactAt < this->settings.electionTimeoutMin;
}

bool RaftCore::isUpToDate(const wire::VoteRequest &request) const
{
    if (request.last_log_term() != this->entries.lastTerm()) {
        return request.last_log_term() > this->entries.lastTerm();
    }
    return request.last_log_index() >= this->entries.lastIndex();
}

/*
 * Pre-vote. Without it a replica that returns from a partition or a freeze would increase its term and depose a working
 * leader, which interrupts service without need. The replica first asks whether it could win an election; replicas in
 * contact with a leader refuse, and no term changes.
 */
void RaftCore::startPreVote()
{
    this->resetElectionTimer();
    this->leader.clear();
    if (!this->isVoter()) {
        return;
    }
    this->currentRole = Role::PreCandidate;
    this->votes.clear();
    this->votes[this->self.id] = this->ownDiskId;
    this->requestVotes(true, false);
    this->countVotes();
}

void RaftCore::startElection(bool isTransfer)
{
    this->currentRole = Role::Candidate;
    this->currentTerm++;
    this->vote = this->self.id + "/" + this->ownDiskId;
    this->saveVote();
    this->electionTicket = this->voteTicket;
    this->votes.clear();
    this->leader.clear();
    this->resetElectionTimer();
    this->requestVotes(false, isTransfer);
}

void RaftCore::requestVotes(bool preVote, bool isTransfer)
{
    for (const wire::Replica &replica : this->membership().replicas()) {
        if (!replica.voter() || this->isSelf(replica)) {
            continue;
        }
        const std::uint64_t term = preVote ? this->currentTerm + 1 : this->currentTerm;
        wire::RaftMessage request = this->message(replica.id(), replica.disk_id(), term);
        wire::VoteRequest *body = request.mutable_vote_request();
        body->set_pre_vote(preVote);
        body->set_handed_over(isTransfer);
        body->set_last_log_index(this->entries.lastIndex());
        body->set_last_log_term(this->entries.lastTerm());
        this->send(replica.address(), std::move(request), preVote ? 0 : this->electionTicket);
    }
}

void RaftCore::countVotes()
{
    if (this->currentRole == Role::Candidate && this->electionTicket <= this->syncedTicket) {
        this->votes[this->self.id] = this->ownDiskId;
    }
    const bool won = this->hasQuorum([this](const wire::Replica &replica) {
        return this->votes.contains(replica.id());
    });
    if (!won) {
        return;
    }
    if (this->currentRole == Role::PreCandidate) {
        this->startElection(false);
    } else if (this->currentRole == Role::Candidate) {
        this->becomeLeader();
    }
}

void RaftCore::becomeLeader()
{
    this->currentRole = Role::Leader;
    this->leader = this->self.id;
    this->termStartApplied = false;
    this->termStartIndex = 0;
    this->progresses.clear();
    if (!this->hasLoggedMembership()) {
        wire::Membership membership = this->membership();
        for (wire::Replica &replica : *membership.mutable_replicas()) {
            replica.set_disk_id(this->votes.at(replica.id()));
        }
        this->appendAsLeader(wire::ENTRY_KIND_MEMBERSHIP, membership.SerializeAsString());
    }
    this->rebuildProgress();
    this->termStartIndex = this->appendAsLeader(wire::ENTRY_KIND_NOOP, {});
}

void RaftCore::onPreVoteRequest(const wire::RaftMessage &message)
{
    const bool granted = message.term() > this->currentTerm && !this->leaderIsAlive()
                         && !this->supportsOtherCandidate(message) && this->isUpToDate(message.vote_request());
    wire::RaftMessage answer = this->answerTo(message);
    answer.mutable_vote_reply()->set_pre_vote(true);
    answer.mutable_vote_reply()->set_granted(granted);
    if (granted) {
        answer.set_term(message.term());
    }
    this->send(message.from_address(), std::move(answer), granted ? 0 : this->voteTicket);
}

void RaftCore::onVoteRequest(const wire::RaftMessage &message)
{
    const std::string candidate = message.from() + "/" + message.from_disk();
    const bool canVote = this->vote.empty() || this->vote == candidate;
    const bool granted = canVote && this->isUpToDate(message.vote_request());
    if (granted) {
        this->currentRole = Role::Follower;
        if (this->vote.empty()) {
            this->vote = candidate;
            this->saveVote();
        }
        this->resetElectionTimer();
    }
    wire::RaftMessage answer = this->answerTo(message);
    answer.mutable_vote_reply()->set_granted(granted);
    this->send(message.from_address(), std::move(answer), this->voteTicket);
}

void RaftCore::onVoteReply(const wire::RaftMessage &message)
{
    const wire::VoteReply &reply = message.vote_reply();
    if (!reply.granted()) {
        return;
    }
    const bool preVote =
        this->currentRole == Role::PreCandidate && reply.pre_vote() && message.term() == this->currentTerm + 1;
    const bool realVote =
        this->currentRole == Role::Candidate && !reply.pre_vote() && message.term() == this->currentTerm;
    if (!preVote && !realVote) {
        return;
    }
    this->votes[message.from()] = message.from_disk();
    this->countVotes();
}

void RaftCore::onLeadershipTransfer()
{
    if (this->currentRole == Role::Leader || !this->isVoter()) {
        return;
    }
    this->startElection(true);
}

/*
 * Makes a leader step down that got no answers from a quorum for an election time-out. Without this check a leader that
 * is partitioned from the others would stay leader and keep its callers waiting.
 */
void RaftCore::checkQuorum()
{
    const bool reached = this->hasQuorum([this](const wire::Replica &replica) {
        if (this->isSelf(replica)) {
            return true;
        }
        const auto found = this->progresses.find(replica.id());
        return found != this->progresses.end()
               && this->now - found->second.lastAnswerAt <= this->settings.electionTimeoutMax;
    });
    if (!reached) {
        this->becomeFollower(this->currentTerm, {});
    }
}

const Progress *RaftCore::leadershipTransferTarget() const
{
    const Progress *best = nullptr;
    for (const auto &[id, progress] : this->progresses) {
        const bool recent = this->now - progress.lastAnswerAt <= this->settings.electionTimeoutMax;
        if (progress.replica.voter() && recent && (best == nullptr || progress.matchIndex > best->matchIndex)) {
            best = &progress;
        }
    }
    return best;
}

void RaftCore::transferLeadership()
{
    if (this->currentRole != Role::Leader) {
        this->emit(LeadershipTransferEnded{});
        return;
    }
    if (this->leadershipTransfer) {
        return;
    }
    const Progress *target = this->leadershipTransferTarget();
    if (target == nullptr) {
        this->emit(LeadershipTransferEnded{});
        return;
    }
    this->leadershipTransfer =
        PendingLeadershipTransfer{target->replica.id(), this->now + this->settings.electionTimeoutMax, {}};
    this->continueLeadershipTransfer();
}

void RaftCore::continueLeadershipTransfer()
{
    if (!this->leadershipTransfer) {
        return;
    }
    const auto found = this->progresses.find(this->leadershipTransfer->target);
    if (this->now >= this->leadershipTransfer->deadline || found == this->progresses.end()) {
        this->leadershipTransfer.reset();
        this->emit(LeadershipTransferEnded{});
        return;
    }
    const Progress &target = found->second;
    const bool caughtUp = target.matchIndex == this->entries.lastIndex();
    if (!caughtUp || this->now - this->leadershipTransfer->sentAt < this->settings.heartbeat) {
        return;
    }
    this->leadershipTransfer->sentAt = this->now;
    wire::RaftMessage request = this->message(target.replica.id(), target.replica.disk_id(), this->currentTerm);
    request.mutable_hand_over();
    this->send(target.replica.address(), std::move(request), 0);
}

} // namespace bergamotweir::raft
