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

/** A slice as the assignment sees it. */
struct LoadedSlice {
    std::uint64_t begin = 0;
    /** Upstream id; one that isn't among the members makes the slice an orphan. */
    std::uint32_t owner = 0;
    /** Share of the service's load, not negative. */
    double load = 0;
    /** A slice on the move counts for its owner but is left where it is. */
    bool moving = false;
};

/** One slice that should change its owner. */
struct SliceMove {
    std::uint64_t begin = 0;
    /** 0 when it had none. */
    std::uint32_t from = 0;
    std::uint32_t to = 0;

    bool operator==(const SliceMove &other) const = default;
};

/** Share of the rightful load by which a member may lie above or below it before slices move. */
inline constexpr double DefaultTolerance = 0.05;

/**
 * Decides which slices change owners so that each member carries load by its weight.
 *
 * Orphans go to the members farthest below their rightful load. Beyond that, slices move only away from members above
 * (1 + tolerance) of it or towards members below (1 - tolerance), and only as many as bring them back to that bound:
 * every further move would be churn without need.
 * Deterministic: the same input gives the same moves. Cost grows as slices x log(slices).
 * @param members those that may own; when empty nothing moves
 * @param slices all slices of the service
 * @param tolerance stated imbalance, such as 0.05
 * @return moves, orphans first
 */
std::vector<SliceMove>
assign(const std::vector<Member> &members, const std::vector<LoadedSlice> &slices, double tolerance = DefaultTolerance);

/**
 * Computes the load which any assignment has to move to reach the tolerance, if slices could be cut at will.
 * @return share of the total load
 */
double minChurn(const std::vector<Member> &members,
                const std::vector<LoadedSlice> &slices,
                double tolerance = DefaultTolerance);

/** @return the largest ratio of a member's load to its rightful one; 1 is perfect, 0 when there is no load */
double imbalance(const std::vector<Member> &members, const std::vector<LoadedSlice> &slices);

} // namespace bergamotweir::control
