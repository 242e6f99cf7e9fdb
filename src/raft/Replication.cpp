#include "raft/RaftCore.h"

#include <algorithm>
#include <cassert>

namespace bergamotweir::raft {

void RaftCore::replicate()
{
    const bool roundNeeded =
        this->termStartApplied && !this->pendingConfirms.empty() && this->pendingConfirms.back().round == 0;
    if (roundNeeded) {
        this->round++;
        for (PendingConfirm &pending : this->pendingConfirms) {
            pending.round = pending.round == 0 ? this->round : pending.round;
        }
        this->checkConfirms();
    }
    for (auto &[id, progress] : this->progresses) {
        progress.sendDue = progress.sendDue || roundNeeded;
        this->sendEntries(progress);
    }
}

void RaftCore::sendEntries(Progress &progress)
{
    if (progress.snapshot == nullptr && progress.nextIndex <= this->entries.base()) {
        this->startSnapshot(progress);
    }
    if (progress.snapshot != nullptr) {
        this->sendChunk(progress);
    } else if (!progress.isProbing) {
        const std::uint64_t lastToSend =
            std::min(this->entries.lastIndex(), progress.matchIndex + this->settings.inFlightEntries);
        while (progress.nextIndex <= lastToSend) {
            wire::RaftMessage request = this->appendMessage(progress, progress.nextIndex - 1);
            wire::AppendRequest *body = request.mutable_append_request();
            std::size_t bytes = 0;
            while (
                progress.nextIndex <= lastToSend
                && (bytes == 0
                    || bytes + this->entries.at(progress.nextIndex).payload().size() <= this->settings.appendBytes)) {
                const wire::LogEntry &entry = this->entries.at(progress.nextIndex);
                bytes += entry.payload().size() + 1;
                *body->add_entries() = entry;
                progress.nextIndex++;
            }
            progress.sendDue = false;
            progress.lastSentAt = this->now;
            this->send(progress.replica.address(), std::move(request), 0);
        }
    }
    if (progress.sendDue) {
        this->sendHeartbeat(progress);
    }
}

void RaftCore::sendHeartbeat(Progress &progress)
{
    progress.sendDue = false;
    progress.lastSentAt = this->now;
    const bool transferring = progress.snapshot != nullptr;
    this->send(progress.replica.address(), this->appendMessage(progress, transferring ? 0 : progress.nextIndex - 1), 0);
}

wire::RaftMessage RaftCore::appendMessage(const Progress &progress, std::uint64_t previousIndex) const
{
    wire::RaftMessage request = this->message(progress.replica.id(), progress.replica.disk_id(), this->currentTerm);
    wire::AppendRequest *body = request.mutable_append_request();
    body->set_previous_index(previousIndex);
    body->set_previous_term(previousIndex == 0 ? 0 : this->entries.termAt(previousIndex).value());
    body->set_commit_index(this->committedIndex);
    body->set_round(this->round);
    return request;
}

void RaftCore::followLeader(const wire::RaftMessage &message)
{
    assert(this->currentRole != Role::Leader);
    if (this->currentRole != Role::Follower) {
        this->becomeFollower(message.term(), message.from());
    }
    this->leader = message.from();
    this->lastLeaderContactAt = this->now;
    this->resetElectionTimer();
}

void RaftCore::onAppendRequest(const wire::RaftMessage &message)
{
    const wire::AppendRequest &request = message.append_request();
    std::uint64_t expected = request.previous_index();
    for (const wire::LogEntry &entry : request.entries()) {
        if (entry.index() != ++expected || entry.term() > message.term()) {
            return;
        }
    }
    this->followLeader(message);
    const std::uint64_t previous = request.previous_index();
    const bool covered = previous < this->entries.base();
    if (!covered && this->entries.termAt(previous) != request.previous_term()) {
        this->rejectAppend(message);
        return;
    }
    for (const wire::LogEntry &entry : request.entries()) {
        if (entry.index() <= this->entries.base()) {
            continue;
        }
        if (entry.index() <= this->entries.lastIndex()) {
            if (this->entries.termAt(entry.index()) == entry.term()) {
                continue;
            }
            this->truncateFrom(entry.index());
        }
        this->appendEntry(entry);
    }
    const std::uint64_t matched = previous + static_cast<std::uint64_t>(request.entries_size());
    this->applyThrough(std::min(request.commit_index(), matched));
    // An empty append acknowledges only entries that are already durable, so its answer does not wait for a sync: a
    // slow disk must not look like an unresponsive follower.
    const bool entriesWait = request.entries_size() > 0 && matched > this->durableIndex;
    wire::RaftMessage answer = this->answerTo(message);
    wire::AppendReply *reply = answer.mutable_append_reply();
    reply->set_accepted(true);
    reply->set_match_index(entriesWait ? matched : std::min(matched, this->durableIndex));
    reply->set_round(request.round());
    this->send(message.from_address(), std::move(answer), entriesWait ? this->nextTicket() : this->voteTicket);
}

void RaftCore::rejectAppend(const wire::RaftMessage &message)
{
    const wire::AppendRequest &request = message.append_request();
    std::uint64_t hint = std::min(request.previous_index(), this->entries.lastIndex() + 1);
    if (hint > this->committedIndex && hint <= this->entries.lastIndex()) {
        // Skips the whole conflicting term instead of stepping back one entry at a time.
        hint = std::max(this->entries.firstIndexOfTerm(hint), this->committedIndex + 1);
    }
    wire::RaftMessage answer = this->answerTo(message);
    wire::AppendReply *reply = answer.mutable_append_reply();
    reply->set_accepted(false);
    reply->set_hint_index(hint);
    reply->set_round(request.round());
    this->send(message.from_address(), std::move(answer), this->voteTicket);
}

void RaftCore::recordAnswer(Progress &progress, std::uint64_t answeredRound)
{
    progress.lastAnswerAt = this->now;
    progress.answeredRound = std::max(progress.answeredRound, answeredRound);
}

void RaftCore::onAppendReply(const wire::RaftMessage &message)
{
    const auto found = this->progresses.find(message.from());
    if (this->currentRole != Role::Leader || found == this->progresses.end()) {
        return;
    }
    Progress &progress = found->second;
    const wire::AppendReply &reply = message.append_reply();
    this->recordAnswer(progress, reply.round());
    if (reply.accepted()) {
        progress.isProbing = false;
        progress.matchIndex = std::max(progress.matchIndex, std::min(reply.match_index(), this->entries.lastIndex()));
        progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
        this->advanceCommit();
    } else if (progress.snapshot == nullptr) {
        progress.isProbing = true;
        progress.sendDue = true;
        progress.nextIndex = std::clamp(reply.hint_index(), progress.matchIndex + 1, this->entries.lastIndex() + 1);
    }
    this->checkConfirms();
    this->continueLeadershipTransfer();
}

/*
 * Advances the commit index to the last entry that a quorum holds durably. Only entries of the current term are
 * committed by counting replicas, since a later leader could still replace an entry of an older term; older entries are
 * committed along with them.
 */
void RaftCore::advanceCommit()
{
    std::vector<std::uint64_t> matches;
    for (const wire::Replica &replica : this->membership().replicas()) {
        if (replica.voter()) {
            // The leader counts itself only for the entries that its own disk has synced.
            matches.push_back(this->isSelf(replica) ? this->durableIndex
                                                    : this->progresses.at(replica.id()).matchIndex);
        }
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const std::uint64_t candidate = matches[matches.size() / 2];
    if (candidate > this->committedIndex && this->entries.termAt(candidate) == this->currentTerm) {
        this->applyThrough(candidate);
    }
}

void RaftCore::applyThrough(std::uint64_t index)
{
    this->committedIndex = std::max(this->committedIndex, index);
    while (this->lastApplied < this->committedIndex) {
        this->lastApplied++;
        const wire::LogEntry &entry = this->entries.at(this->lastApplied);
        this->sinceSnapshot.bytes += entry.payload().size();
        this->emit(ApplyEntry{entry});
        if (this->currentRole == Role::Leader && entry.index() == this->termStartIndex) {
            this->termStartApplied = true;
            this->emit(BecameLeader{this->currentTerm});
        }
        if (entry.kind() == wire::ENTRY_KIND_MEMBERSHIP) {
            this->onMembershipCommitted(entry);
        }
    }
    this->requestSnapshotIfDue();
}

void RaftCore::confirm(RequestId request)
{
    if (this->currentRole != Role::Leader) {
        this->emit(Confirmed{request, false});
        return;
    }
    this->pendingConfirms.push_back({request, 0});
}

/*
 * Answers confirmations (ReadIndex). A leader that was replaced during a partition still has its old state and could
 * serve stale reads. An answer counts only for rounds started after the request arrived, so a quorum recognised this
 * leader at a moment after the request; every change acknowledged before then is in its log, and applied before the
 * answer is sent.
 */
void RaftCore::checkConfirms()
{
    while (!this->pendingConfirms.empty() && this->pendingConfirms.front().round != 0) {
        const std::uint64_t needed = this->pendingConfirms.front().round;
        const bool confirmed = this->hasQuorum([this, needed](const wire::Replica &replica) {
            return this->isSelf(replica) || this->progresses.at(replica.id()).answeredRound >= needed;
        });
        if (!confirmed) {
            return;
        }
        this->emit(Confirmed{this->pendingConfirms.front().request, true});
        this->pendingConfirms.pop_front();
    }
}

} // namespace bergamotweir::raft
