#pragma once

#include "RaftPump.h"

namespace bergamotweir::tests {

/** One kind of fault. */
struct Fault {
    const char *name;
    void (*inject)(RaftPump &pump, const std::string &target);
};

/** @return every kind of fault that a replica must tolerate */
const std::vector<Fault> &faults();

/** Ends all faults: restarts and thaws replicas, repairs disks and network. A lost disk stays lost. */
void healAll(RaftPump &pump);

/** Requests a membership change from the leader unless one is in progress. @return true once it is committed */
bool ensureChange(RaftPump &pump, const std::string &id, wire::ChangeMember::Change change);

/** @return true if the leader applied its whole log and every member that still has its disk has the same state */
bool hasConverged(RaftPump &pump);

/**
 * Takes the next step of replacing the members whose disk was lost: remove, add again, promote.
 * @return true once every replica is a voter with its current disk
 */
bool repairMembership(RaftPump &pump);

/** @return the first running replica that is not the leader; null if there is none */
FakeReplica *follower(RaftPump &pump);

} // namespace bergamotweir::tests
