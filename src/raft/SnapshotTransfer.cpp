#include "raft/RaftCore.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace bergamotweir::raft {

namespace {

/** Heartbeat intervals without an answer after which a chunk counts as lost and is sent again. */
constexpr int ChunkResendHeartbeats = 4;

/** Maximum size of a received snapshot; a larger one would not fit the memory of the replica. */
constexpr std::size_t MaxSnapshotBytes = std::size_t{1} << 30;

} // namespace

void RaftCore::startSnapshot(Progress &progress)
{
    assert(this->snapshot != nullptr);
    progress.snapshot = this->snapshot;
    progress.snapshotOffset = 0;
    progress.chunkDue = true;
}

void RaftCore::sendChunk(Progress &progress)
{
    const bool lost = this->now - progress.chunkSentAt >= ChunkResendHeartbeats * this->settings.heartbeat;
    if (!progress.chunkDue && !lost) {
        return;
    }
    const Snapshot &sent = *progress.snapshot;
    const std::size_t size = std::min(this->settings.chunkBytes, sent.data.size() - progress.snapshotOffset);
    wire::RaftMessage request = this->message(progress.replica.id(), progress.replica.disk_id(), this->currentTerm);
    wire::SnapshotChunk *chunk = request.mutable_snapshot_chunk();
    chunk->set_last_index(sent.lastIndex);
    chunk->set_last_term(sent.lastTerm);
    chunk->set_offset(progress.snapshotOffset);
    chunk->set_data(sent.data.data() + progress.snapshotOffset, size);
    chunk->set_round(this->round);
    if (progress.snapshotOffset + size == sent.data.size()) {
        chunk->set_done(true);
        chunk->set_checksum(XXH3_64bits(sent.data.data(), sent.data.size()));
        *chunk->mutable_membership() = sent.membership;
    }
    progress.chunkDue = false;
    progress.chunkSentAt = this->now;
    progress.lastSentAt = this->now;
    progress.sendDue = false;
    this->send(progress.replica.address(), std::move(request), 0);
}

void RaftCore::replySnapshot(const wire::RaftMessage &request, std::uint64_t nextOffset, bool installed)
{
    wire::RaftMessage answer = this->answerTo(request);
    wire::SnapshotReply *reply = answer.mutable_snapshot_reply();
    reply->set_last_index(request.snapshot_chunk().last_index());
    reply->set_next_offset(nextOffset);
    reply->set_installed(installed);
    reply->set_round(request.snapshot_chunk().round());
    this->send(request.from_address(), std::move(answer), installed ? this->nextTicket() : this->voteTicket);
}

void RaftCore::onSnapshotChunk(const wire::RaftMessage &message)
{
    const wire::SnapshotChunk &chunk = message.snapshot_chunk();
    this->followLeader(message);
    if (chunk.last_index() <= this->committedIndex) {
        this->incomingSnapshot.reset();
        this->replySnapshot(message, 0, true);
        return;
    }
    const bool continues = this->incomingSnapshot && this->incomingSnapshot->from == message.from()
                           && this->incomingSnapshot->term == message.term()
                           && this->incomingSnapshot->lastIndex == chunk.last_index()
                           && this->incomingSnapshot->lastTerm == chunk.last_term();
    if (!continues) {
        this->incomingSnapshot =
            IncomingSnapshot{message.from(), message.term(), chunk.last_index(), chunk.last_term(), {}};
    }
    std::string &data = this->incomingSnapshot->data;
    if (chunk.offset() != data.size()) {
        this->replySnapshot(message, data.size(), false);
        return;
    }
    data += chunk.data();
    if (data.size() > MaxSnapshotBytes) {
        this->incomingSnapshot.reset();
        return;
    }
    if (!chunk.done()) {
        this->replySnapshot(message, data.size(), false);
        return;
    }
    if (XXH3_64bits(data.data(), data.size()) != chunk.checksum()) {
        this->incomingSnapshot.reset();
        this->replySnapshot(message, 0, false);
        return;
    }
    auto received = std::make_shared<Snapshot>();
    received->lastIndex = chunk.last_index();
    received->lastTerm = chunk.last_term();
    received->membership = chunk.membership();
    received->data = std::move(data);
    this->incomingSnapshot.reset();
    this->install(std::move(received));
    this->replySnapshot(message, 0, true);
}

void RaftCore::install(SnapshotPtr received)
{
    this->snapshot = std::move(received);
    const std::uint64_t index = this->snapshot->lastIndex;
    const bool agrees = this->entries.termAt(index) == this->snapshot->lastTerm;
    if (agrees) {
        this->entries.dropThrough(index);
        this->memberships.erase(this->memberships.begin(), this->memberships.lower_bound(index));
    } else {
        this->entries.reset(index, this->snapshot->lastTerm);
        this->memberships.clear();
        this->pendingAppends.clear();
        this->durableIndex = 0;
    }
    this->memberships[index] = this->snapshot->membership;
    this->committedIndex = index;
    this->lastApplied = index;
    this->sinceSnapshot = {};
    this->write(SaveSnapshot{this->snapshot, !agrees});
    this->pendingAppends.push_back({this->nextTicket(), std::max(index, agrees ? this->entries.lastIndex() : index)});
    this->requestedSnapshotIndex = 0;
    this->snapshotTicket = 0;
    this->emit(RestoreSnapshot{this->snapshot});
}

void RaftCore::onSnapshotReply(const wire::RaftMessage &message)
{
    const auto found = this->progresses.find(message.from());
    if (this->currentRole != Role::Leader || found == this->progresses.end()) {
        return;
    }
    Progress &progress = found->second;
    const wire::SnapshotReply &reply = message.snapshot_reply();
    this->recordAnswer(progress, reply.round());
    this->checkConfirms();
    if (progress.snapshot == nullptr || reply.last_index() != progress.snapshot->lastIndex) {
        return;
    }
    if (!reply.installed()) {
        const bool fits = reply.next_offset() <= progress.snapshot->data.size();
        progress.chunkDue = reply.next_offset() != progress.snapshotOffset || progress.chunkDue;
        progress.snapshotOffset = fits ? reply.next_offset() : 0;
        return;
    }
    progress.matchIndex = std::max(progress.matchIndex, reply.last_index());
    progress.nextIndex = progress.matchIndex + 1;
    progress.isProbing = false;
    progress.sendDue = true;
    progress.snapshot.reset();
    this->advanceCommit();
}

void RaftCore::requestSnapshotIfDue()
{
    const std::uint64_t covered = this->snapshot ? this->snapshot->lastIndex : 0;
    const std::uint64_t applied = this->lastApplied - covered;
    const double jitter =
        1 + static_cast<double>(this->snapshotJitter) / static_cast<double>(this->settings.snapshotEntries);
    const bool isDue =
        applied >= this->settings.snapshotEntries + this->snapshotJitter
        || static_cast<double>(this->sinceSnapshot.bytes) >= jitter * static_cast<double>(this->settings.snapshotBytes)
        || this->sinceSnapshot.applyTime >= jitter * this->settings.snapshotApplyTime;
    if (this->requestedSnapshotIndex != 0 || this->snapshotTicket != 0 || applied == 0 || !isDue) {
        return;
    }
    // A disk delays appends while it writes a snapshot. Without the jitter all replicas would take theirs at the same
    // entry, and no quorum could acknowledge quickly.
    this->snapshotJitter = this->random(static_cast<std::uint32_t>(this->settings.snapshotEntries));
    this->requestedSnapshotIndex = this->lastApplied;
    this->sinceSnapshot = {};
    this->emit(TakeSnapshot{this->lastApplied});
}

void RaftCore::recordApplyTime(std::chrono::nanoseconds took)
{
    this->sinceSnapshot.applyTime += took;
    this->requestSnapshotIfDue();
}

void RaftCore::snapshotTaken(std::uint64_t index, std::string data)
{
    if (this->isStopped || index != this->requestedSnapshotIndex) {
        return;
    }
    this->requestedSnapshotIndex = 0;
    auto taken = std::make_shared<Snapshot>();
    taken->lastIndex = index;
    taken->lastTerm = this->entries.termAt(index).value();
    taken->membership = std::prev(this->memberships.upper_bound(index))->second;
    taken->data = std::move(data);
    this->snapshot = std::move(taken);
    this->write(SaveSnapshot{this->snapshot, false});
    this->snapshotTicket = this->nextTicket();
}

} // namespace bergamotweir::raft
