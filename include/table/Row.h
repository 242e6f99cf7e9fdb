#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace bergamotweir::table {

/** Wildcard for any service, failure domain or upstream in a row. */
inline constexpr const char *Any = "*";

/** One row of the table: the upstreams that it applies to, and the columns that it sets; an empty cell sets nothing. */
struct Row {
    /** Line number in the file, counted from 1 including comments and blank lines. */
    unsigned number = 0;
    std::string service = Any;
    std::string failureDomain = Any;
    std::string upstream = Any;
    std::optional<double> weight;
    std::optional<unsigned> limit;
    std::optional<bool> keyed;
    std::optional<std::chrono::milliseconds> timeout;
    std::optional<double> sloAvailability;
    std::optional<std::chrono::milliseconds> sloLatency;
    std::optional<double> sloPercentile;
    std::optional<bool> inService;

    bool operator==(const Row &other) const = default;
};

} // namespace bergamotweir::table
