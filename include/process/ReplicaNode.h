#pragma once

#include "base/Result.h"
#include "control.pb.h"
#include "disk/FileOperations.h"
#include "process/ReplicaSettings.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
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
    /** Certainly not in the log: not the leader, or transferring leadership, or too many entries are uncommitted. */
    NotLeader,
    /** Leadership was lost after the proposal entered the log: it may or may not be committed later. */
    Unknown,
    /** Certainly not in the log: the change itself was refused, see the findings. */
    Refused,
};

/** The result of a proposal. */
struct ProposeResult {
    ProposeOutcome kind = ProposeOutcome::NotLeader;
    /** Position in the log; set when applied or unknown. */
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
    /**
     * Called when this replica becomes the leader or stops being it.
     * @p leader is true only after all entries committed before have been applied.
     */
    std::function<void(bool leader, std::uint64_t term)> leadershipChanged;
    /** Called on the leader when a replica that is not a member asks to join. May be empty. */
    std::function<void(const wire::Replica &)> joinRequested;
    /** Called when the replica has stopped (disk failed); the process should log that and exit. May be empty. */
    std::function<void(const Findings &)> stopped;
};

/**
 * One replica of the control group: the consensus core on its disk and its transport.
 * Owned by the control process. Methods may be called on the loop's thread only; callbacks run on it.
 */
class ReplicaNode
{
public:
    /**
     * Loads the data folder, listens and joins its group.
     * open() calls hooks (restore) before it returns when there is a snapshot.
     * @param loop outlives the replica
     * @param files file calls, replaced by tests
     * @return the running replica, or why it can't start: folder in use or of another replica, corrupt file, port taken
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

    /** Confirms with a quorum, in a round begun after this call, whether this replica is still the leader. */
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
     * To add a learner, set replica.id, address and control_address; its disk id is requested from the replica itself.
     */
    void changeMembership(const wire::ChangeMember &change, std::function<void(ProposeResult)> done);

    /**
     * Asks to join a group. The message may be lost, so callers repeat it until membership() contains this replica.
     * @param addresses replica endpoints of probable members
     */
    void requestJoin(const std::vector<std::string> &addresses);

    /** @return time since each of the other members has answered this leader, by id */
    std::map<std::string, std::chrono::nanoseconds> silences() const;

    /** @return ids of the learners that hold enough of the log to become voters; empty unless this replica leads */
    std::set<std::string> caughtUpLearners() const;

    /** Transfers leadership to a caught-up voter. @param done called when it has ended or a bounded time has passed */
    void transferLeadership(std::function<void()> done);

private:
    struct Parts;
    explicit ReplicaNode(std::unique_ptr<Parts> parts);
    std::unique_ptr<Parts> parts;
};

} // namespace bergamotweir::process
