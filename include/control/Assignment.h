#pragma once

#include <cstdint>
#include <vector>

namespace bergamotweir::control {

/** An upstream that may own slices of a service. */
struct Member {
    std::uint32_t id = 0;
    /** Greater than 0. */
    double weight = 1;
};

/** A slice as input of the assignment: its owner and its load. */
struct LoadedSlice {
    std::uint64_t begin = 0;
    /** Upstream id; a slice whose owner isn't among the members is an orphan. */
    std::uint32_t owner = 0;
    /** Share of the service's load, not negative. */
    double load = 0;
    /** A slice that is being moved counts towards its owner's load and is not moved again. */
    bool moving = false;
};

/** A slice that should get another owner. */
struct SliceMove {
    std::uint64_t begin = 0;
    /** 0 when the slice had no owner. */
    std::uint32_t from = 0;
    std::uint32_t to = 0;

    bool operator==(const SliceMove &other) const = default;
};

/** Fraction of its target load by which a member may be above or below that target before slices move. */
inline constexpr double DefaultTolerance = 0.05;

/**
 * Decides which slices change owners so that each member's load is in proportion to its weight (its target load).
 *
 * Orphans go to the members farthest below their target load. Beyond that, slices move only away from members above
 * (1 + tolerance) of the target or towards members below (1 - tolerance) of it, and only as many as bring them back to
 * that bound, because every further move is avoidable churn.
 * Deterministic: the same input gives the same moves. Cost grows as slices x log(slices).
 * @param members upstreams that may own slices; when empty nothing moves
 * @param slices all slices of the service
 * @param tolerance accepted imbalance, such as 0.05
 * @return moves, orphans first
 */
std::vector<SliceMove>
assign(const std::vector<Member> &members, const std::vector<LoadedSlice> &slices, double tolerance = DefaultTolerance);

/**
 * Chooses the tolerance for assign(). Balancing moves keys away from upstreams that work on them, which pays only if an
 * upstream would otherwise be busy.
 * @param minimum tolerance while upstreams are busy
 * @param headroom load up to which upstreams aren't busy, as a multiple of their mean load; at least 1
 */
double toleratedImbalance(double minimum, double headroom);

/** Limits a member's load to what its upstream accepts. */
struct LoadCap {
    std::uint32_t id = 0;
    /** Largest share of the service's load; greater than 0. */
    double maxShare = 1;
};

/**
 * Reduces the weights of members whose target load would exceed their cap by more than the tolerance allows; the others
 * keep their weights relative to one another. Where all are capped, the caps alone decide.
 * @param tolerance accepted imbalance that assign() is called with
 */
std::vector<Member> capWeights(std::vector<Member> members, const std::vector<LoadCap> &caps, double tolerance);

/**
 * Computes the minimum load that any assignment must move to reach the tolerance, assuming that slices can be split
 * anywhere.
 * @return share of the total load
 */
double minChurn(const std::vector<Member> &members,
                const std::vector<LoadedSlice> &slices,
                double tolerance = DefaultTolerance);

/** @return the largest ratio of a member's load to its target load; 1 is balanced, 0 when there is no load */
double imbalance(const std::vector<Member> &members, const std::vector<LoadedSlice> &slices);

} // namespace bergamotweir::control
