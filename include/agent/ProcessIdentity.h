#pragma once

#include <chrono>
#include <string>

namespace bergamotweir::agent {

/** What identifies one process of an upstream. */
struct ProcessIdentity {
    std::string service;
    /** Id that the process states and checks; a later process may use it again. */
    std::string instance;
    /** IP:port at which it listens. */
    std::string address;
    /** Start of the process as Unix time of its own wall clock. */
    std::chrono::milliseconds startedAt{0};
};

/** How the sender of a heartbeat relates to a process that the agent knows. */
enum class HeartbeatSender {
    /** Another process, at another address. */
    Unrelated,
    /** The known process. */
    Same,
    /** A process of the same instance that started later at the known one's address. */
    LaterLife,
    /** A process of another instance that states a later start at the known one's address. */
    Successor,
    /** A process that had started before the known one at its address; the heartbeat was delayed. */
    Earlier,
    /** No process at all: the heartbeat states facts of the known process that differ from those it has stated. */
    Contradictory
};

/**
 * Classifies the sender of a heartbeat.
 * @param known a process that the agent knows
 * @param sender what the heartbeat states
 */
HeartbeatSender classifySender(const ProcessIdentity &known, const ProcessIdentity &sender);

} // namespace bergamotweir::agent
