#pragma once

#include "base/Result.h"
#include "control.pb.h"
#include "disk/FileOperations.h"
#include "process/ReplicaSettings.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotweir::loop {
class EventLoop;
}

namespace bergamotweir::process {

/** How a proposal ended. */
enum class ProposeOutcome {
    /** Committed and applied; the result of the apply hook is there. */
    Applied,
    /** Surely not in the log: this replica doesn't lead, or leads but is handing over or full. */
    NotLeader,
    /** Leadership was lost after the proposal entered the log: it may or may not be committed later. */
    Unknown,
    /** Surely not in the log: the change itself was refused, see the findings. */
    Refused,
};

/** What a proposer gets back. */
struct ProposeResult {
    ProposeOutcome kind = ProposeOutcome::NotLeader;
    /** Place in the log; set when applied or unknown. */
    wire::Version version;
    /** What the apply hook returned; set when applied. */
    std::string result;
    /** Why it was refused. */
    Findings findings;
};

/** The replicated state machine, called by its replica on the loop's thread. */
struct ReplicaHooks {
    /** Applies a committed command; called once per command, in log order. @return bytes for the proposer */
    std::function<std::string(const wire::Version &, std::string_view command)> apply;
    /** @return the whole state, serialised */
    std::function<std::string()> snapshot;
    /** Replaces the whole state by a snapshot taken at the given version. */
    std::function<void(const wire::Version &, std::string_view state)> restore;
    /** leader is true only after everything committed before has been applied. */
    std::function<void(bool leader, std::uint64_t term)> leadershipChanged;
    /** A replica that is no member asks to be taken in; this replica leads. May be empty. */
    std::function<void(const wire::Replica &)> joinRequested;
    /** The replica acts no more (disk failed); the process should say so and exit. May be empty. */
    std::function<void(const Findings &)> stopped;
};

/**
 * One replica of the control group: the consensus core on its disk and its transport.
 * Owned by the control process; all methods are for the loop's thread, all callbacks come on it.
 */
class ReplicaNode
{
public:
    /**
     * Loads the data folder, listens and joins its group.
     * open() calls hooks (restore) before it returns when there is a snapshot.
     * @param loop outlives the replica
     * @param files file calls, replaced by tests
     * @return the running replica, or why it can't: folder in use or of another replica, corrupt file, port taken
     */
    static Result<std::unique_ptr<ReplicaNode>> open(loop::EventLoop &loop,
                                                     ReplicaSettings settings,
                                                     ReplicaHooks hooks,
                                                     disk::FileOperations files = disk::systemFileOperations());

    ~ReplicaNode();
    ReplicaNode(const ReplicaNode &) = delete;
    ReplicaNode &operator=(const ReplicaNode &) = delete;

    /** Proposes a command; all proposals of one loop turn share one append and one sync. */
    void propose(std::string command, std::function<void(ProposeResult)> done);

    /** Asks a quorum, in a round begun after this call, whether this replica still leads. */
    void confirmLeadership(std::function<void(bool)> done);

    /** @return true from leadershipChanged(true) until leadershipChanged(false) */
    bool isLeader() const;
    std::uint64_t term() const;
    /** @return IP:port of the leader's control endpoint; empty when no leader is known */
    std::string leaderControlAddress() const;
    /** @return id of the leader; empty when no leader is known */
    std::string leaderId() const;
    /** @return the newest version applied */
    wire::Version applied() const;
    /** @return the membership in force here */
    wire::Membership membership() const;
    /** @return the port listened on */
    std::uint16_t raftPort() const;

    /**
     * Adds a learner, promotes it, or removes a replica; one change at a time.
     * To add, replica.id, address and control_address are set; the disk id is asked from the replica itself.
     */
    void changeMembership(const wire::ChangeMember &change, std::function<void(ProposeResult)> done);

    /**
     * Asks to be taken into a group; may be lost, so it is asked again until membership() names this replica.
     * @param addresses replica endpoints of probable members
     */
    void requestJoin(const std::vector<std::string> &addresses);

    /** @return ids of members that have not answered this leader for longer than @p timeout */
    std::set<std::string> unresponsiveMembers(std::chrono::nanoseconds timeout) const;

    /** Hands leadership to a caught-up voter; done is called when it's gone or a bounded time has passed. */
    void transferLeadership(std::function<void()> done);

private:
    struct Parts;
    explicit ReplicaNode(std::unique_ptr<Parts> parts);
    std::unique_ptr<Parts> parts;
};

} // namespace bergamotweir::process
