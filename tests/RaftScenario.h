#pragma once

#include "RaftPump.h"

namespace bergamotweir::tests {

/** One kind of fault, and what it strikes. */
struct Fault {
    const char *name;
    void (*strike)(RaftPump &pump, const std::string &target);
};

/** @return every fault of the brief that a replica can meet */
const std::vector<Fault> &faults();

/** Ends every fault: starts what was killed, thaws, mends disks and network. A lost disk stays lost. */
void healAll(RaftPump &pump);

/** Asks the leader for a membership change unless one is under way. @return true once it is committed */
bool changed(RaftPump &pump, const std::string &id, wire::ChangeMember::Change change);

/** @return true when every member that still has its disk holds all that the leader's log holds */
bool converged(RaftPump &pump);

/** Replaces one member whose disk was lost: removed, added again, promoted. @return true when there is none left */
bool repaired(RaftPump &pump);

/** @return the first running replica that doesn't lead; null when none */
FakeReplica *follower(RaftPump &pump);

} // namespace bergamotweir::tests
