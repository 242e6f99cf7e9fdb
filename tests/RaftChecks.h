#pragma once

#include "RaftFakes.h"

#include <map>

namespace bergamotweir::tests {

/** Checks the safety properties of a group of replicas after every event. */
class RaftChecks
{
public:
    /** A message was sent: a vote or acknowledgement in it must be durable and not contradict an earlier vote. */
    void checkSent(const FakeReplica &replica, const wire::RaftMessage &message);

    /** An entry was applied: every replica must apply the same entries, in order and without gaps. */
    void checkApplied(const FakeReplica &replica, const wire::LogEntry &entry);

    /** A snapshot was restored: it must be the state that other replicas had at its index. */
    void checkRestored(const FakeReplica &replica, const raft::Snapshot &snapshot);

    /**
     * The events of a turn were processed. Checks election safety (at most one leader per term), leader completeness
     * (the leader holds every committed entry) and log matching (logs that match at an index match below it).
     */
    void checkTurn(const FakeReplica &replica, const std::map<std::string, FakeReplica> &all);

    /** A leadership confirmation succeeded: everything acknowledged before the request must have been applied. */
    void checkConfirmed(const FakeReplica &replica, std::uint64_t acknowledgedBefore);

    /** Descriptions of the violated properties; empty if there were none. */
    std::vector<std::string> violations;

private:
    struct Committed {
        std::uint64_t term;
        std::string payload;
        std::string state;
        /** Term of the replica that applied the entry first, at that time. */
        std::uint64_t appliedInTerm;
    };

    void require(bool condition, const FakeReplica &replica, const std::string &what);
    void checkLogMatching(const FakeReplica &one, const FakeReplica &other);

    std::map<std::uint64_t, std::string> leaderOfTerm;
    std::map<std::pair<std::string, std::uint64_t>, std::string> votes;
    std::map<std::uint64_t, Committed> committed;
};

} // namespace bergamotweir::tests
