#pragma once

#include "base/BootClock.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace bergamotweir::agent {

/** Identifies a route among those of one table; 0 when it isn't known. */
using RouteTag = std::uint16_t;

/** @return the tag of a route; routes may share one, which then count as one route */
RouteTag routeTagOf(std::string_view route);

/**
 * The part of each route in the requests that one gate received lately.
 *
 * Guards against routes that starve while a service is overloaded: where all wait their turn, requests of a route with
 * a short time-out are refused because of the queue that other routes have filled.
 */
struct RouteShares {
    struct Count {
        double requests = 0;
        BootTime updatedAt;
    };

    /** Maximum number of routes that are tracked; further ones count as new. */
    static constexpr std::size_t MaxRoutes = 256;

    std::unordered_map<RouteTag, Count> routes;
    Count all;
};

/** Counts a request. */
void countRequest(RouteShares &shares, RouteTag route, BootTime now);

/**
 * @return whether the route causes so small a part of the requests that serving it first doesn't delay others
 *         noticeably; true for a new route, false for one that isn't known
 */
bool isMinorRoute(const RouteShares &shares, RouteTag route, BootTime now);

} // namespace bergamotweir::agent
