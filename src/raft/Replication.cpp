#include "raft/RaftCore.h"

#include <algorithm>
#include <cassert>

namespace bergamotweir::raft {

void RaftCore::replicate()
{
    const bool roundNeeded = this->termStartApplied && !this->confirms.empty() && this->confirms.back().round == 0;
    if (roundNeeded) {
        this->round++;
        for (PendingConfirm &pending : this->confirms) {
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
    if (progress.snapshot == nullptr && progress.next <= this->entries.base()) {
        this->startSnapshot(progress);
    }
    if (progress.snapshot != nullptr) {
        this->sendChunk(progress);
    } else if (!progress.probing) {
        const std::uint64_t most = std::min(this->entries.lastIndex(), progress.match + this->settings.inFlightEntries);
        while (progress.next <= most) {
            wire::RaftMessage request = this->appendMessage(progress, progress.next - 1);
            wire::AppendRequest *body = request.mutable_append_request();
            std::size_t bytes = 0;
            while (progress.next <= most
                   && (bytes == 0
                       || bytes + this->entries.at(progress.next).payload().size() <= this->settings.appendBytes)) {
                const wire::LogEntry &entry = this->entries.at(progress.next);
                bytes += entry.payload().size() + 1;
                *body->add_entries() = entry;
                progress.next++;
            }
            progress.sendDue = false;
            progress.lastSent = this->now;
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
    progress.lastSent = this->now;
    const bool transferring = progress.snapshot != nullptr;
    this->send(progress.replica.address(), this->appendMessage(progress, transferring ? 0 : progress.next - 1), 0);
}

wire::RaftMessage RaftCore::appendMessage(const Progress &progress, std::uint64_t previousIndex) const
{
    wire::RaftMessage request = this->message(progress.replica.id(), progress.replica.disk_id(), this->currentTerm);
    wire::AppendRequest *body = request.mutable_append_request();
    body->set_previous_index(previousIndex);
    body->set_previous_term(previousIndex == 0 ? 0 : this->entries.termAt(previousIndex).value());
    body->set_commit_index(this->commit);
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
    this->lastLeaderContact = this->now;
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
    // An empty append says again only what is on disk, so it needn't wait for a sync: a slow disk is no lost leader.
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
    if (hint > this->commit && hint <= this->entries.lastIndex()) {
        // Skips the whole conflicting term instead of going back entry by entry.
        hint = std::max(this->entries.firstOfTerm(hint), this->commit + 1);
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
    progress.lastAnswer = this->now;
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
        progress.probing = false;
        progress.match = std::max(progress.match, std::min(reply.match_index(), this->entries.lastIndex()));
        progress.next = std::max(progress.next, progress.match + 1);
        this->advanceCommit();
    } else if (progress.snapshot == nullptr) {
        progress.probing = true;
        progress.sendDue = true;
        progress.next = std::clamp(reply.hint_index(), progress.match + 1, this->entries.lastIndex() + 1);
    }
    this->checkConfirms();
    this->continueLeadershipTransfer();
}

/*
 * Guards against committing an entry of an older term by counting replicas: a later leader could still replace it.
 * Only an entry of the own term is counted; older ones are committed with it.
 */
void RaftCore::advanceCommit()
{
    std::vector<std::uint64_t> matches;
    for (const wire::Replica &replica : this->membership().replicas()) {
        if (replica.voter()) {
            // The leader counts itself only for what its own disk has synced.
            matches.push_back(this->isSelf(replica) ? this->durableIndex : this->progresses.at(replica.id()).match);
        }
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const std::uint64_t candidate = matches[matches.size() / 2];
    if (candidate > this->commit && this->entries.termAt(candidate) == this->currentTerm) {
        this->applyThrough(candidate);
    }
}

void RaftCore::applyThrough(std::uint64_t index)
{
    this->commit = std::max(this->commit, index);
    while (this->applied < this->commit) {
        this->applied++;
        const wire::LogEntry &entry = this->entries.at(this->applied);
        this->emit(ApplyEntry{entry});
        if (this->currentRole == Role::Leader && entry.index() == this->termStartIndex) {
            this->termStartApplied = true;
            this->emit(BecameLeader{this->currentTerm});
        }
        if (entry.kind() == wire::ENTRY_KIND_MEMBERSHIP) {
            this->onMembershipCommitted(entry);
        }
    }
    this->wantSnapshot();
}

void RaftCore::confirm(RequestId request)
{
    if (this->currentRole != Role::Leader) {
        this->emit(Confirmed{request, false});
        return;
    }
    this->confirms.push_back({request, 0});
}

/*
 * Guards against a stale read: a leader that was replaced behind a partition still holds its old state. An answer
 * counts only for rounds begun after the request arrived, so a quorum was on our side at a moment after the request;
 * every change acknowledged before it is in our log, and applied before the answer leaves.
 */
void RaftCore::checkConfirms()
{
    while (!this->confirms.empty() && this->confirms.front().round != 0) {
        const std::uint64_t needed = this->confirms.front().round;
        const bool confirmed = this->hasQuorum([this, needed](const wire::Replica &replica) {
            return this->isSelf(replica) || this->progresses.at(replica.id()).answeredRound >= needed;
        });
        if (!confirmed) {
            return;
        }
        this->emit(Confirmed{this->confirms.front().request, true});
        this->confirms.pop_front();
    }
}

} // namespace bergamotweir::raft
