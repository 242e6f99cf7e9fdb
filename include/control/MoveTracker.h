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

/** How far a move of a slice has come. */
enum class MovePhase {
    /** The owner's agent was asked to stop work on the slice and has not said that it ended. */
    Revoking,
    /** The owner surely does no more work on the slice; the change of owner is to be proposed. */
    Released,
    /** The change of owner is in flight. */
    Committing,
};

/** A slice on its way from one owner to another. */
struct Move {
    /** Epoch of the holding that ends. */
    std::uint64_t epoch = 0;
    std::uint32_t from = 0;
    /** 0 leaves the slice without an owner. */
    std::uint32_t to = 0;
    MovePhase phase = MovePhase::Revoking;
    /** The lost agent it is taken from without its Released; empty otherwise. */
    std::string previousAgent;
    /** Work that nobody can be asked about has surely ended by then; the change of owner waits for it. */
    BootTime notBefore;
    /** What the owner's upstream gave out with its release, for the next one; may be empty. */
    std::string handover;
};

/** A slice of a service. */
using SliceName = std::pair<std::string, std::uint64_t>;

/** All moves that the leader has begun. Volatile, owned by the coordinator. */
class MoveTracker
{
public:
    std::map<SliceName, Move> moves;

    /** @return the move of a slice, or nullptr */
    Move *find(const SliceName &slice);
    /** @return how many moves leave or reach each upstream */
    std::unordered_map<std::uint32_t, std::size_t> countByUpstream() const;
    /** @return first hashes of a service's slices on the move */
    std::set<std::uint64_t> begins(const std::string &service) const;
};

} // namespace bergamotweir::control
