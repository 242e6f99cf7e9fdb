#include "RaftChecks.h"

#include <algorithm>

namespace bergamotweir::tests {

namespace {

/** Number of entries compared in two logs after each turn, from the highest index at which they match downwards. */
constexpr std::uint64_t ComparedEntries = 6;

} // namespace

void RaftChecks::require(bool condition, const FakeReplica &replica, const std::string &what)
{
    if (!condition) {
        this->violations.push_back(replica.id + ": " + what);
    }
}

void RaftChecks::checkSent(const FakeReplica &replica, const wire::RaftMessage &message)
{
    const raft::PersistentState &durable = replica.disk.durable;
    const bool ownVote = message.has_vote_request() && !message.vote_request().pre_vote();
    const bool grants = message.has_vote_reply() && message.vote_reply().granted() && !message.vote_reply().pre_vote();
    if (ownVote || grants) {
        const std::string candidate =
            ownVote ? message.from() + "/" + message.from_disk() : message.to() + "/" + message.to_disk();
        this->require(durable.term == message.term() && durable.votedFor == candidate, replica, "vote not on disk");
        const auto [vote, first] = this->votes.emplace(std::pair(message.from_disk(), message.term()), candidate);
        this->require(first || vote->second == candidate, replica, "voted twice in a term");
    }
    if (message.has_append_reply() && message.append_reply().accepted()) {
        const bool onDisk = lastIndexOf(durable) >= message.append_reply().match_index();
        this->require(onDisk, replica, "acknowledged entries that are not on disk");
        this->require(durable.term >= message.term(), replica, "acknowledged in a term that is not on disk");
    }
    if (message.has_snapshot_reply() && message.snapshot_reply().installed()) {
        const bool onDisk = lastIndexOf(durable) >= message.snapshot_reply().last_index();
        this->require(onDisk, replica, "acknowledged a snapshot that is not on disk");
    }
}

void RaftChecks::checkApplied(const FakeReplica &replica, const wire::LogEntry &entry)
{
    this->require(entry.index() == replica.appliedIndex + 1, replica, "applied out of order");
    const std::string state = stateAfter(replica.state, entry);
    const Committed now{entry.term(), entry.payload(), state, replica.core->term()};
    const auto [known, first] = this->committed.emplace(entry.index(), now);
    const bool same = known->second.term == now.term && known->second.payload == now.payload;
    this->require(first || same, replica, "a committed entry was changed at " + std::to_string(entry.index()));
    this->require(known->second.state == state, replica, "states differ at " + std::to_string(entry.index()));
}

void RaftChecks::checkRestored(const FakeReplica &replica, const raft::Snapshot &snapshot)
{
    const auto known = this->committed.find(snapshot.lastIndex);
    const bool same = known != this->committed.end() && known->second.state == snapshot.data;
    this->require(same, replica, "restored a state that nobody had at " + std::to_string(snapshot.lastIndex));
}

void RaftChecks::checkConfirmed(const FakeReplica &replica, std::uint64_t acknowledgedBefore)
{
    this->require(replica.appliedIndex >= acknowledgedBefore, replica, "confirmed a stale state");
}

void RaftChecks::checkLogMatching(const FakeReplica &one, const FakeReplica &other)
{
    const raft::Log &ownLog = one.core->log();
    const raft::Log &otherLog = other.core->log();
    const std::uint64_t minIndex = std::max(ownLog.base(), otherLog.base());
    std::uint64_t index = std::min(ownLog.lastIndex(), otherLog.lastIndex());
    while (index > minIndex && ownLog.at(index).term() != otherLog.at(index).term()) {
        index--;
    }
    for (std::uint64_t below = 0; below < ComparedEntries && index > minIndex; ++below, --index) {
        const bool same = ownLog.at(index).term() == otherLog.at(index).term()
                          && ownLog.at(index).payload() == otherLog.at(index).payload();
        this->require(same, one, "log differs from that of " + other.id + " below a place of agreement");
    }
}

void RaftChecks::checkTurn(const FakeReplica &replica, const std::map<std::string, FakeReplica> &all)
{
    for (const auto &[id, other] : all) {
        if (other.core && id != replica.id) {
            this->checkLogMatching(replica, other);
        }
    }
    if (replica.core->role() != raft::Role::Leader) {
        return;
    }
    const std::uint64_t term = replica.core->term();
    const std::string identity = replica.id + "/" + replica.core->diskId();
    const auto [leader, elected] = this->leaderOfTerm.emplace(term, identity);
    this->require(leader->second == identity, replica, "second leader in term " + std::to_string(term));
    const raft::Log &log = replica.core->log();
    for (auto entry = this->committed.rbegin(); entry != this->committed.rend(); ++entry) {
        if (entry->first <= log.base()) {
            break;
        }
        const bool known = entry->second.appliedInTerm <= term;
        const bool held = log.termAt(entry->first) == entry->second.term;
        this->require(!known || held, replica, "leads without committed entry " + std::to_string(entry->first));
        if (!elected && known) {
            break;
        }
    }
}

} // namespace bergamotweir::tests
