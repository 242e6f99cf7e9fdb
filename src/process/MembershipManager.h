#pragma once

#include "base/BootClock.h"
#include "loop/EventLoop.h"
#include "process/ControlSettings.h"

#include <map>
#include <string>

namespace bergamotweir::process {

class ReplicaNode;

/**
 * Looks after the membership of a control group that keeps itself: a replica that is no member asks to be taken in, and
 * the leader carries out one change after the other (raft::nextChange()).
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

    /** A replica asks this leader to be taken in. */
    void joinRequested(const wire::Replica &replica);

    /**
     * Guards against a change that is acknowledged and lost: with only the first three voters, two lost disks take it
     * with them.
     * @return whether the group is large enough for what it acknowledges, or nobody has come for a long time
     */
    bool canAcknowledge() const;

private:
    struct Joiner {
        wire::Replica replica;
        BootTime askedAt;
    };

    void look();
    void requestJoin();
    void changeMembership(BootTime now);

    loop::EventLoop &loop;
    ReplicaNode &node;
    const GroupSettings settings;
    const std::string replicaId;
    std::map<std::string, Joiner> joiners;
    BootTime leaderSince;
    BootTime leaderSeen;
    bool changing = false;
    loop::TimerId timer = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace bergamotweir::process
