#pragma once

#include "base/BootClock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace bergamotweir::control {

/** Phase of a move of a slice. */
enum class MovePhase {
    /** The owner's agent was asked to stop work on the slice and has not confirmed that it has. */
    Revoking,
    /** The owner can do no more work on the slice; the change of owner is to be proposed. */
    Released,
    /** The change of owner has been proposed and is in flight. */
    Committing,
};

/** A move of a slice from one owner to another. */
struct Move {
    /** Epoch of the ownership that the move ends. */
    std::uint64_t epoch = 0;
    std::uint32_t from = 0;
    /** 0 leaves the slice without an owner. */
    std::uint32_t to = 0;
    MovePhase phase = MovePhase::Revoking;
    /** The lost agent from which the slice is taken without its Released; empty otherwise. */
    std::string previousAgent;
    /** Time by which work that no agent can report on must have ended; the change of owner waits for it. */
    BootTime notBefore;
    /** Handover text that the owner's upstream returned with its release, for the next owner; may be empty. */
    std::string handover;
};

/** Identifies a slice: its service and its first hash. */
using SliceName = std::pair<std::string, std::uint64_t>;

/** All moves in progress that the leader has begun. Volatile, owned by the coordinator. */
class MoveTracker
{
public:
    std::map<SliceName, Move> moves;

    /** @return the move of a slice, or nullptr */
    Move *find(const SliceName &slice);
    /** @return the number of moves from or to each upstream */
    std::unordered_map<std::uint32_t, std::size_t> countByUpstream() const;
    /** @return first hashes of a service's slices that are being moved */
    std::set<std::uint64_t> movingSlices(const std::string &service) const;
};

} // namespace bergamotweir::control
