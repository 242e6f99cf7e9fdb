#pragma once

#include "RaftFakes.h"

#include <map>

namespace bergamotweir::tests {

/** What must always hold in a group of replicas, checked after every event. */
class RaftChecks
{
public:
    /** A promise leaves: what it promises must be on disk, and differ from no earlier one. */
    void sent(const FakeReplica &replica, const wire::RaftMessage &message);

    /** An entry was applied: the same at every replica, in order, none left out. */
    void applied(const FakeReplica &replica, const wire::LogEntry &entry);

    /** A snapshot was restored: the state that all others had there. */
    void restored(const FakeReplica &replica, const raft::Snapshot &snapshot);

    /** A turn ended: one leader per term, which holds everything committed; logs that agree at a place agree below. */
    void turnEnded(const FakeReplica &replica, const std::map<std::string, FakeReplica> &all);

    /** A confirmation was answered: everything acknowledged before it was asked must have been applied. */
    void confirmed(const FakeReplica &replica, std::uint64_t acknowledgedBefore);

    /** What broke; empty means that everything held. */
    std::vector<std::string> violations;

private:
    struct Committed {
        std::uint64_t term;
        std::string payload;
        std::string state;
        /** Term of the replica that applied it first. */
        std::uint64_t knownInTerm;
    };

    void require(bool holds, const FakeReplica &replica, const std::string &what);
    void checkPrefix(const FakeReplica &one, const FakeReplica &other);

    std::map<std::uint64_t, std::string> leaderOfTerm;
    std::map<std::pair<std::string, std::uint64_t>, std::string> votes;
    std::map<std::uint64_t, Committed> committed;
};

} // namespace bergamotweir::tests
