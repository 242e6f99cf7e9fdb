#pragma once

#include <optional>
#include <string>

namespace bergamotweir::table {

/** A group of callers that share keys, a priority and a limit. */
struct Workspace {
    std::string name;
    /** Overrides the priority of the route; absent when not stated. */
    std::optional<unsigned> priority;
    /** Requests a second that all agents together admit; 0 is no limit. */
    double ratePerSecond = 0;
    /** Requests beyond the rate that may arrive at once. */
    double burst = 0;
};

} // namespace bergamotweir::table
