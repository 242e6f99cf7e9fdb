#include "raft/MembershipPlan.h"
#include "raft/RaftCore.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bergamotweir::raft {

namespace {

/** Time within which a replica to be added must report its disk id. */
constexpr std::chrono::seconds IdentifyTimeout{2};

const char *const FindingPlace = "membership";

wire::Replica *findReplica(wire::Membership &membership, const std::string &id)
{
    for (wire::Replica &replica : *membership.mutable_replicas()) {
        if (replica.id() == id) {
            return &replica;
        }
    }
    return nullptr;
}

wire::Membership withoutReplica(const wire::Membership &membership, const std::string &id)
{
    wire::Membership remaining;
    for (const wire::Replica &replica : membership.replicas()) {
        if (replica.id() != id) {
            *remaining.add_replicas() = replica;
        }
    }
    return remaining;
}

} // namespace

bool RaftCore::hasLoggedMembership() const
{
    return this->memberships.rbegin()->first > 0;
}

bool RaftCore::isVoter() const
{
    const wire::Replica *own = this->findMember(this->self.id);
    return own != nullptr && own->voter() && this->isSelf(*own);
}

bool RaftCore::isSelf(const wire::Replica &replica) const
{
    return replica.id() == this->self.id && (replica.disk_id().empty() || replica.disk_id() == this->ownDiskId);
}

const wire::Replica *RaftCore::findMember(const std::string &id) const
{
    for (const wire::Replica &replica : this->membership().replicas()) {
        if (replica.id() == id) {
            return &replica;
        }
    }
    return nullptr;
}

bool RaftCore::hasQuorum(const std::function<bool(const wire::Replica &)> &counts) const
{
    int voters = 0;
    int counted = 0;
    for (const wire::Replica &replica : this->membership().replicas()) {
        if (replica.voter()) {
            voters++;
            counted += counts(replica) ? 1 : 0;
        }
    }
    if (!this->hasLoggedMembership()) {
        return voters > 0 && counted == voters;
    }
    return counted * 2 > voters;
}

std::map<std::string, std::chrono::nanoseconds> RaftCore::silences() const
{
    std::map<std::string, std::chrono::nanoseconds> silences;
    for (const auto &[id, progress] : this->progresses) {
        silences[id] = this->now - progress.lastAnswerAt;
    }
    return silences;
}

std::set<std::string> RaftCore::caughtUpLearners() const
{
    std::set<std::string> learners;
    for (const auto &[id, progress] : this->progresses) {
        if (!progress.replica.voter() && this->hasCaughtUp(progress)) {
            learners.insert(id);
        }
    }
    return learners;
}

bool RaftCore::hasCaughtUp(const Progress &progress) const
{
    return progress.matchIndex > 0 && progress.matchIndex + this->settings.promotionLag >= this->committedIndex;
}

void RaftCore::rebuildProgress()
{
    std::map<std::string, Progress> kept = std::exchange(this->progresses, {});
    for (const wire::Replica &replica : this->membership().replicas()) {
        if (this->isSelf(replica)) {
            continue;
        }
        const auto found = kept.find(replica.id());
        if (found != kept.end() && found->second.replica.disk_id() == replica.disk_id()) {
            found->second.replica = replica;
            this->progresses[replica.id()] = std::move(found->second);
            continue;
        }
        Progress fresh;
        fresh.replica = replica;
        fresh.nextIndex = this->entries.lastIndex() + 1;
        fresh.lastAnswerAt = this->now;
        this->progresses[replica.id()] = std::move(fresh);
    }
}

void RaftCore::refuseChange(RequestId request, std::string message)
{
    this->emit(MemberChanged{request, ChangeOutcome::Refused, 0, 0, oneFinding(FindingPlace, std::move(message))});
}

/*
 * Returns whether the responsive voters of the next membership are a quorum of it. A change that does not satisfy this
 * would leave a group that cannot commit.
 */
bool RaftCore::wouldKeepQuorum(const wire::Membership &next) const
{
    int answering = 0;
    for (const wire::Replica &replica : next.replicas()) {
        if (!replica.voter()) {
            continue;
        }
        const auto found = this->progresses.find(replica.id());
        const bool recent = found != this->progresses.end()
                            && this->now - found->second.lastAnswerAt <= this->settings.electionTimeoutMax;
        answering += this->isSelf(replica) || recent ? 1 : 0;
    }
    return answering * 2 > static_cast<int>(countVoters(next));
}

std::optional<wire::Membership> RaftCore::membershipAfter(const wire::ChangeMember &asked, std::string &refusal) const
{
    const std::string &id = asked.replica().id();
    wire::Membership next = this->membership();
    wire::Replica *replica = findReplica(next, id);
    if (replica == nullptr) {
        refusal = id + " is not a member";
        return std::nullopt;
    }
    if (asked.change() == wire::ChangeMember::CHANGE_REMOVE) {
        next = withoutReplica(next, id);
    } else {
        if (replica->voter()) {
            refusal = id + " is a voter already";
            return std::nullopt;
        }
        const Progress &progress = this->progresses.at(id);
        // A promoted learner that lags would count in the quorum without holding the entries: the loss of one more
        // replica could then lose committed entries.
        if (!this->hasCaughtUp(progress)) {
            refusal = id + " has not caught up: " + std::to_string(this->committedIndex - progress.matchIndex)
                      + " entries behind";
            return std::nullopt;
        }
        replica->set_voter(true);
    }
    if (!this->wouldKeepQuorum(next)) {
        refusal = "too few of the voters that would remain answer";
        return std::nullopt;
    }
    return next;
}

void RaftCore::changeMember(RequestId request, const wire::ChangeMember &asked)
{
    if (!this->isLeader() || this->leadershipTransfer) {
        this->refuseChange(request, "this replica does not lead");
        return;
    }
    // Two concurrent single-server changes could have quorums that do not overlap.
    if (this->pendingChange || this->memberships.rbegin()->first > this->committedIndex) {
        this->refuseChange(request, "another change is in progress");
        return;
    }
    const BootTime deadline = this->now + IdentifyTimeout;
    if (asked.change() == wire::ChangeMember::CHANGE_ADD) {
        if (this->findMember(asked.replica().id()) != nullptr) {
            this->refuseChange(request, asked.replica().id() + " is a member; remove it first");
            return;
        }
        if (asked.replica().id().empty() || asked.replica().address().empty()) {
            this->refuseChange(request, "a replica to add needs an id and an address");
            return;
        }
        this->pendingChange = PendingChange{request, asked.replica(), 0, {}, deadline};
        this->requestIdentity();
        return;
    }
    std::string refusal;
    const std::optional<wire::Membership> next = this->membershipAfter(asked, refusal);
    if (!next) {
        this->refuseChange(request, std::move(refusal));
        return;
    }
    this->pendingChange = PendingChange{request, asked.replica(), 0, {}, deadline};
    this->appendChange(*next);
}

void RaftCore::appendChange(const wire::Membership &next)
{
    this->pendingChange->index = this->appendAsLeader(wire::ENTRY_KIND_MEMBERSHIP, next.SerializeAsString());
    this->rebuildProgress();
    this->advanceCommit();
}

void RaftCore::requestIdentity()
{
    if (!this->pendingChange || this->pendingChange->index != 0) {
        return;
    }
    if (this->now >= this->pendingChange->deadline) {
        const RequestId request = this->pendingChange->request;
        const std::string who = this->pendingChange->replica.id() + " at " + this->pendingChange->replica.address();
        this->pendingChange.reset();
        this->refuseChange(request, who + " does not answer");
        return;
    }
    if (this->now - this->pendingChange->askedAt < this->settings.heartbeat) {
        return;
    }
    this->pendingChange->askedAt = this->now;
    wire::RaftMessage question = this->message(this->pendingChange->replica.id(), {}, this->currentTerm);
    question.mutable_identify();
    this->send(this->pendingChange->replica.address(), std::move(question), 0);
}

void RaftCore::onIdentity(const wire::RaftMessage &message)
{
    if (!this->pendingChange || this->pendingChange->index != 0
        || message.from() != this->pendingChange->replica.id()) {
        return;
    }
    const std::string &requestedDisk = this->pendingChange->replica.disk_id();
    if (!requestedDisk.empty() && requestedDisk != message.from_disk()) {
        const RequestId request = this->pendingChange->request;
        this->pendingChange.reset();
        this->refuseChange(request, message.from() + " has another disk than the one named");
        return;
    }
    wire::Membership next = this->membership();
    wire::Replica *added = next.add_replicas();
    *added = this->pendingChange->replica;
    added->set_disk_id(message.from_disk());
    added->set_voter(false);
    this->appendChange(next);
}

void RaftCore::onMembershipCommitted(const wire::LogEntry &entry)
{
    if (this->currentRole != Role::Leader) {
        return;
    }
    if (this->pendingChange && this->pendingChange->index == entry.index()) {
        this->emit(
            MemberChanged{this->pendingChange->request, ChangeOutcome::Committed, entry.term(), entry.index(), {}});
        this->pendingChange.reset();
    }
    const bool newest = this->memberships.rbegin()->first == entry.index();
    if (newest && !this->isVoter()) {
        // The leader removed itself: it transfers leadership to the most caught-up voter at once.
        const Progress *target = this->leadershipTransferTarget();
        if (target != nullptr) {
            wire::RaftMessage request =
                this->message(target->replica.id(), target->replica.disk_id(), this->currentTerm);
            request.mutable_hand_over();
            this->send(target->replica.address(), std::move(request), 0);
        }
        this->becomeFollower(this->currentTerm, {});
    }
}

} // namespace bergamotweir::raft
