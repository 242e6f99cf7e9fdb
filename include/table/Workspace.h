#pragma once

#include <optional>
#include <string>

namespace bergamotweir::table {

/** A group of callers that share keys, a priority and a limit. */
struct Workspace {
    std::string name;
    /** Goes before the priority of the route; absent where not stated. */
    std::optional<unsigned> priority;
    /** Requests a second that all agents together let through; 0 is no limit. */
    double ratePerSecond = 0;
    /** Requests beyond the rate that may come at once. */
    double burst = 0;
};

} // namespace bergamotweir::table
