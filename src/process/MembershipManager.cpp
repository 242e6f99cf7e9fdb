#include "process/MembershipManager.h"

#include "loop/Log.h"
#include "process/ReplicaNode.h"
#include "raft/MembershipPlan.h"

#include <algorithm>

namespace bergamotweir::process {

namespace {

using std::chrono::milliseconds;

/** How often the membership is checked and a join requested: well below the 1 s that a join may take. */
constexpr milliseconds MembershipCheckInterval{100};
/** A joiner that has not repeated its request for this long is dropped; it repeats it at every check. */
constexpr milliseconds JoinRequestLifetime{1000};
/** A member that has known no leader for this long may have been removed while it was down, and asks to join. */
constexpr milliseconds LeaderlessTimeout{2000};

constexpr loop::Log Log("group");

bool isMember(const wire::Membership &membership, const std::string &id)
{
    return std::any_of(membership.replicas().begin(), membership.replicas().end(), [&](const wire::Replica &replica) {
        return replica.id() == id;
    });
}

} // namespace

MembershipManager::MembershipManager(loop::EventLoop &loop,
                                     ReplicaNode &node,
                                     GroupSettings settings,
                                     std::string replicaId)
    : loop(loop)
    , node(node)
    , settings(std::move(settings))
    , replicaId(std::move(replicaId))
    , leaderSeenAt(BootClock::now())
{
    this->timer = loop.every(MembershipCheckInterval, [this] {
        this->checkMembership();
    });
}

MembershipManager::~MembershipManager()
{
    *this->alive = false;
    this->loop.cancel(this->timer);
}

void MembershipManager::joinRequested(const wire::Replica &replica)
{
    if (!this->joiners.contains(replica.id())) {
        Log.info(replica.id() + " at " + replica.address() + " asks to join");
    }
    this->joiners[replica.id()] = {replica, BootClock::now()};
}

bool MembershipManager::canAcknowledge() const
{
    if (raft::countVoters(this->node.membership()) >= this->settings.wantedVoters) {
        return true;
    }
    return this->leaderSince != BootTime() && BootClock::now() - this->leaderSince >= this->settings.joinGrace;
}

void MembershipManager::checkMembership()
{
    const BootTime now = BootClock::now();
    if (!this->node.leaderId().empty()) {
        this->leaderSeenAt = now;
    }
    if (!this->node.isLeader()) {
        this->leaderSince = BootTime();
        this->joiners.clear();
        if (!isMember(this->node.membership(), this->replicaId) || now - this->leaderSeenAt >= LeaderlessTimeout) {
            this->requestJoin();
        }
        return;
    }
    if (this->leaderSince == BootTime()) {
        this->leaderSince = now;
    }
    this->changeMembership(now);
}

void MembershipManager::requestJoin()
{
    std::vector<std::string> addresses = this->settings.seeds;
    const wire::Membership membership = this->node.membership();
    for (const wire::Replica &replica : membership.replicas()) {
        addresses.push_back(replica.address());
    }
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    this->node.requestJoin(addresses);
}

void MembershipManager::changeMembership(BootTime now)
{
    raft::MembershipFacts facts;
    facts.members = this->node.membership();
    facts.silences = this->node.silences();
    facts.caughtUp = this->node.caughtUpLearners();
    facts.voterTimeout = this->settings.voterTimeout;
    facts.learnerTimeout = this->settings.learnerTimeout;
    facts.wantedVoters = this->settings.wantedVoters;
    std::erase_if(this->joiners, [&](const auto &entry) {
        return isMember(facts.members, entry.first) || now - entry.second.askedAt > JoinRequestLifetime;
    });
    for (const auto &[id, joiner] : this->joiners) {
        facts.joiners.push_back(joiner.replica);
    }
    if (this->changeInProgress) {
        return;
    }
    const std::optional<wire::ChangeMember> change = raft::nextChange(facts);
    if (!change) {
        return;
    }
    this->changeInProgress = true;
    this->node.changeMembership(*change, [this, alive = this->alive, change](const ProposeResult &result) {
        if (!*alive) {
            return;
        }
        this->changeInProgress = false;
        if (result.kind == ProposeOutcome::Applied) {
            Log.info(wire::ChangeMember::Change_Name(change->change()) + " of " + change->replica().id() + " done, "
                     + std::to_string(raft::countVoters(this->node.membership())) + " voters");
        }
    });
}

} // namespace bergamotweir::process
