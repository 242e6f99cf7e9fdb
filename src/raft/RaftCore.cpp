#include "raft/RaftCore.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace bergamotweir::raft {

RaftCore::RaftCore(Self self, RaftSettings settings, PersistentState state, std::uint64_t seed, BootTime now)
    : self(std::move(self))
    , settings(settings)
    , random(seed ^ XXH3_64bits(this->self.id.data(), this->self.id.size()))
    , now(now)
    , ownDiskId(std::move(state.diskId))
    , currentTerm(state.term)
    , vote(std::move(state.votedFor))
    , snapshot(std::move(state.snapshot))
{
    if (this->snapshot) {
        this->entries.reset(this->snapshot->lastIndex, this->snapshot->lastTerm);
        this->memberships[this->snapshot->lastIndex] = this->snapshot->membership;
        this->committedIndex = this->snapshot->lastIndex;
        this->lastApplied = this->committedIndex;
        this->emit(RestoreSnapshot{this->snapshot});
    } else {
        this->memberships[0] = this->self.join ? wire::Membership() : this->self.initial;
    }
    for (wire::LogEntry &entry : state.entries) {
        if (entry.kind() == wire::ENTRY_KIND_MEMBERSHIP) {
            this->memberships[entry.index()].ParseFromString(entry.payload());
        }
        this->entries.append(std::move(entry));
    }
    this->durableIndex = this->entries.lastIndex();
    this->snapshotJitter = this->random(static_cast<std::uint32_t>(this->settings.snapshotEntries));
    this->resetElectionTimer();
}

void RaftCore::tick(BootTime time)
{
    this->now = time;
    if (this->isStopped) {
        return;
    }
    if (this->currentRole != Role::Leader) {
        if (this->now >= this->electionDeadline && this->isVoteSynced()) {
            this->startPreVote();
        }
        return;
    }
    this->checkQuorum();
    if (this->currentRole != Role::Leader) {
        return;
    }
    for (auto &[id, progress] : this->progresses) {
        progress.sendDue = progress.sendDue || this->now - progress.lastSentAt >= this->settings.heartbeat;
    }
    this->continueLeadershipTransfer();
    this->requestIdentity();
}

void RaftCore::receive(const wire::RaftMessage &message, BootTime time)
{
    this->now = time;
    if (this->isStopped || !this->isAddressedToSelf(message)) {
        return;
    }
    if (message.has_identify()) {
        wire::RaftMessage answer = this->answerTo(message);
        answer.mutable_identity();
        this->send(message.from_address(), std::move(answer), 0);
        return;
    }
    if (message.has_identity()) {
        this->onIdentity(message);
        return;
    }
    if (message.has_vote_request() && message.vote_request().pre_vote()) {
        this->onPreVoteRequest(message);
        return;
    }
    const bool isAnswer = message.has_vote_reply() || message.has_append_reply() || message.has_snapshot_reply();
    if (isAnswer && !this->isFromMember(message)) {
        return;
    }
    const bool preVoteGranted =
        message.has_vote_reply() && message.vote_reply().pre_vote() && message.vote_reply().granted();
    if (!preVoteGranted && !this->acceptTerm(message)) {
        return;
    }
    this->dispatch(message);
}

/*
 * Returns whether a message is addressed to this replica and its disk. A replica that lost or replaced its disk no
 * longer has its votes and acknowledged entries; if it answered under its old identity, two leaders could be elected in
 * one term or a committed entry could be lost. Members of the group therefore address one disk, and a message for
 * another disk is dropped. Only requests for the first vote, sent before entry 1 records the disk ids, name no disk;
 * that vote must be unanimous. Identify, which asks for the disk id, names none either.
 */
bool RaftCore::isAddressedToSelf(const wire::RaftMessage &message) const
{
    if (message.to() != this->self.id || message.from() == this->self.id) {
        return false;
    }
    if (!message.to_disk().empty()) {
        return message.to_disk() == this->ownDiskId;
    }
    return message.has_identify() || (message.has_vote_request() && !this->hasLoggedMembership() && !this->self.join);
}

bool RaftCore::isFromMember(const wire::RaftMessage &message) const
{
    const wire::Replica *sender = this->findMember(message.from());
    return sender != nullptr && (sender->disk_id().empty() || sender->disk_id() == message.from_disk());
}

bool RaftCore::acceptTerm(const wire::RaftMessage &message)
{
    if (message.term() == this->currentTerm) {
        return true;
    }
    if (message.term() > this->currentTerm) {
        const bool forced = message.has_vote_request() && message.vote_request().handed_over();
        if (message.has_vote_request() && !forced && this->leaderIsAlive()) {
            return false;
        }
        this->becomeFollower(message.term(), {});
        return true;
    }
    // The answer carries the current term, so that a leader or candidate of an older term steps down.
    wire::RaftMessage answer = this->answerTo(message);
    if (message.has_append_request()) {
        answer.mutable_append_reply()->set_accepted(false);
    } else if (message.has_snapshot_chunk()) {
        answer.mutable_snapshot_reply()->set_installed(false);
    } else if (message.has_vote_request()) {
        answer.mutable_vote_reply()->set_granted(false);
    } else {
        return false;
    }
    this->send(message.from_address(), std::move(answer), this->voteTicket);
    return false;
}

void RaftCore::dispatch(const wire::RaftMessage &message)
{
    switch (message.body_case()) {
    case wire::RaftMessage::kVoteRequest:
        this->onVoteRequest(message);
        break;
    case wire::RaftMessage::kVoteReply:
        this->onVoteReply(message);
        break;
    case wire::RaftMessage::kAppendRequest:
        this->onAppendRequest(message);
        break;
    case wire::RaftMessage::kAppendReply:
        this->onAppendReply(message);
        break;
    case wire::RaftMessage::kSnapshotChunk:
        this->onSnapshotChunk(message);
        break;
    case wire::RaftMessage::kSnapshotReply:
        this->onSnapshotReply(message);
        break;
    case wire::RaftMessage::kHandOver:
        this->onLeadershipTransfer();
        break;
    default:
        break;
    }
}

void RaftCore::becomeFollower(std::uint64_t newTerm, const std::string &newLeader)
{
    assert(newTerm >= this->currentTerm);
    if (this->currentRole == Role::Leader) {
        this->loseLeadership();
    }
    this->currentRole = Role::Follower;
    this->leader = newLeader;
    this->votes.clear();
    if (newTerm > this->currentTerm) {
        this->currentTerm = newTerm;
        this->vote.clear();
        this->saveVote();
    }
    this->resetElectionTimer();
}

void RaftCore::loseLeadership()
{
    if (this->termStartApplied) {
        this->emit(LostLeadership{this->currentTerm});
    }
    this->termStartApplied = false;
    this->termStartIndex = 0;
    for (const PendingConfirm &pending : this->pendingConfirms) {
        this->emit(Confirmed{pending.request, false});
    }
    this->pendingConfirms.clear();
    if (this->pendingChange) {
        const bool inLog = this->pendingChange->index != 0;
        this->emit(MemberChanged{this->pendingChange->request,
                                 inLog ? ChangeOutcome::Unknown : ChangeOutcome::Refused,
                                 this->currentTerm,
                                 this->pendingChange->index,
                                 oneFinding("membership", "leadership was lost meanwhile")});
        this->pendingChange.reset();
    }
    if (this->leadershipTransfer) {
        this->leadershipTransfer.reset();
        this->emit(LeadershipTransferEnded{});
    }
    this->progresses.clear();
}

wire::RaftMessage RaftCore::message(const std::string &to, const std::string &toDisk, std::uint64_t messageTerm) const
{
    wire::RaftMessage made;
    made.set_from(this->self.id);
    made.set_from_disk(this->ownDiskId);
    made.set_from_address(this->self.address);
    made.set_to(to);
    made.set_to_disk(toDisk);
    made.set_term(messageTerm);
    return made;
}

wire::RaftMessage RaftCore::answerTo(const wire::RaftMessage &request) const
{
    return this->message(request.from(), request.from_disk(), this->currentTerm);
}

void RaftCore::send(const std::string &address, wire::RaftMessage message, Ticket afterTicket)
{
    if (afterTicket <= this->syncedTicket) {
        this->emit(SendMessage{address, std::move(message)});
        return;
    }
    this->delayedMessages.push_back({afterTicket, SendMessage{address, std::move(message)}});
}

/*
 * Sends the delayed messages whose ticket has been synced, and drops those of an older term. If a vote or an
 * acknowledgement was sent before it was durable, a replica that restarts after a crash could vote twice in a term or
 * lose a committed entry.
 */
void RaftCore::sendDelayedMessages()
{
    std::deque<DelayedMessage> waiting;
    for (DelayedMessage &one : this->delayedMessages) {
        if (one.ticket > this->syncedTicket) {
            waiting.push_back(std::move(one));
        } else if (one.send.message.term() == this->currentTerm) {
            this->actions.push_back(std::move(one.send));
        }
    }
    this->delayedMessages = std::move(waiting);
}

Ticket RaftCore::nextTicket() const
{
    return this->operations.empty() ? this->issuedTicket : this->issuedTicket + 1;
}

void RaftCore::saveVote()
{
    this->write(SaveVote{this->currentTerm, this->vote});
    this->voteTicket = this->nextTicket();
    this->voteSavedAt = this->now;
}

void RaftCore::truncateFrom(std::uint64_t index)
{
    assert(index > this->committedIndex);
    this->entries.truncateFrom(index);
    this->write(TruncateFrom{index});
    this->memberships.erase(this->memberships.lower_bound(index), this->memberships.end());
    this->durableIndex = std::min(this->durableIndex, index - 1);
    for (PendingAppend &one : this->pendingAppends) {
        one.lastIndex = std::min(one.lastIndex, index - 1);
    }
}

void RaftCore::appendEntry(wire::LogEntry entry)
{
    if (entry.kind() == wire::ENTRY_KIND_MEMBERSHIP) {
        this->memberships[entry.index()].ParseFromString(entry.payload());
    }
    if (this->operations.empty() || !std::holds_alternative<AppendEntries>(this->operations.back())) {
        this->write(AppendEntries{});
    }
    std::get<AppendEntries>(this->operations.back()).entries.push_back(entry);
    this->entries.append(std::move(entry));
    const Ticket ticket = this->nextTicket();
    if (!this->pendingAppends.empty() && this->pendingAppends.back().ticket == ticket) {
        this->pendingAppends.back().lastIndex = this->entries.lastIndex();
    } else {
        this->pendingAppends.push_back({ticket, this->entries.lastIndex()});
    }
}

std::uint64_t RaftCore::appendAsLeader(wire::EntryKind kind, std::string payload)
{
    wire::LogEntry entry;
    entry.set_term(this->currentTerm);
    entry.set_index(this->entries.lastIndex() + 1);
    entry.set_kind(kind);
    entry.set_payload(std::move(payload));
    this->appendEntry(std::move(entry));
    return this->entries.lastIndex();
}

std::optional<wire::Version> RaftCore::propose(std::string command)
{
    if (!this->isLeader() || this->leadershipTransfer) {
        return std::nullopt;
    }
    if (this->entries.lastIndex() - this->committedIndex >= this->settings.uncommittedEntries) {
        return std::nullopt;
    }
    wire::Version version;
    version.set_index(this->appendAsLeader(wire::ENTRY_KIND_COMMAND, std::move(command)));
    version.set_term(this->currentTerm);
    return version;
}

void RaftCore::diskSynced(Ticket ticket)
{
    if (this->isStopped) {
        return;
    }
    const bool awaitedVote = !this->isVoteSynced();
    this->syncedTicket = std::max(this->syncedTicket, ticket);
    if (awaitedVote && this->isVoteSynced()) {
        this->onVoteSynced();
    }
    while (!this->pendingAppends.empty() && this->pendingAppends.front().ticket <= this->syncedTicket) {
        this->durableIndex = std::max(this->durableIndex, this->pendingAppends.front().lastIndex);
        this->pendingAppends.pop_front();
    }
    this->sendDelayedMessages();
    if (this->snapshotTicket != 0 && this->snapshotTicket <= this->syncedTicket) {
        this->snapshotTicket = 0;
        const std::uint64_t covered = this->snapshot->lastIndex;
        const std::uint64_t oldestTrailing = covered - std::min(covered, this->settings.trailingEntries);
        this->entries.dropThrough(
            std::max(oldestTrailing, this->entries.indexBefore(covered, this->settings.trailingBytes)));
    }
    if (this->currentRole == Role::Candidate) {
        this->countVotes();
    }
    if (this->currentRole == Role::Leader) {
        this->advanceCommit();
    }
}

void RaftCore::diskFailed()
{
    if (this->isStopped) {
        return;
    }
    if (this->currentRole == Role::Leader) {
        this->loseLeadership();
    }
    this->currentRole = Role::Follower;
    this->leader.clear();
    this->isStopped = true;
    this->delayedMessages.clear();
    this->operations.clear();
}

std::vector<Action> RaftCore::takeActions()
{
    if (!this->isStopped && this->currentRole == Role::Leader) {
        this->replicate();
    }
    std::vector<Action> taken;
    if (!this->operations.empty()) {
        taken.push_back(WriteDisk{++this->issuedTicket, std::exchange(this->operations, {})});
    }
    taken.insert(
        taken.end(), std::make_move_iterator(this->actions.begin()), std::make_move_iterator(this->actions.end()));
    this->actions.clear();
    return taken;
}

Role RaftCore::role() const
{
    return this->currentRole;
}

bool RaftCore::isLeader() const
{
    return this->currentRole == Role::Leader && this->termStartApplied;
}

bool RaftCore::stopped() const
{
    return this->isStopped;
}

std::uint64_t RaftCore::term() const
{
    return this->currentTerm;
}

const std::string &RaftCore::diskId() const
{
    return this->ownDiskId;
}

const std::string &RaftCore::votedFor() const
{
    return this->vote;
}

const std::string &RaftCore::leaderId() const
{
    return this->leader;
}

const wire::Membership &RaftCore::membership() const
{
    return this->memberships.rbegin()->second;
}

const Log &RaftCore::log() const
{
    return this->entries;
}

std::uint64_t RaftCore::commitIndex() const
{
    return this->committedIndex;
}

const SnapshotPtr &RaftCore::lastSnapshot() const
{
    return this->snapshot;
}

} // namespace bergamotweir::raft
