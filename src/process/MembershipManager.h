#pragma once

#include "base/BootClock.h"
#include "loop/EventLoop.h"
#include "process/ControlSettings.h"

#include <map>
#include <string>

namespace bergamotweir::process {

class ReplicaNode;

/**
 * Manages the membership of a control group without operators: a replica that is not a member asks to join, and the
 * leader makes one membership change at a time (raft::nextChange()).
 * Owned by the control process; used on the loop's thread.
 */
class MembershipManager
{
public:
    /** @param loop and @param node outlive this */
    MembershipManager(loop::EventLoop &loop, ReplicaNode &node, GroupSettings settings, std::string replicaId);
    ~MembershipManager();
    MembershipManager(const MembershipManager &) = delete;
    MembershipManager &operator=(const MembershipManager &) = delete;

    /** Called when a replica asks this leader to join the group. */
    void joinRequested(const wire::Replica &replica);

    /**
     * Guards against acknowledging a change that is then lost: with only the first three voters, losing two disks loses
     * it.
     * @return whether the group has the wanted number of voters, or this leader has waited the join grace for joiners
     */
    bool canAcknowledge() const;

private:
    struct Joiner {
        wire::Replica replica;
        BootTime askedAt;
    };

    void checkMembership();
    void requestJoin();
    void changeMembership(BootTime now);

    loop::EventLoop &loop;
    ReplicaNode &node;
    const GroupSettings settings;
    const std::string replicaId;
    std::map<std::string, Joiner> joiners;
    BootTime leaderSince;
    BootTime leaderSeenAt;
    bool changeInProgress = false;
    loop::TimerId timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace bergamotweir::process
