#include "agent/RouteShares.h"

#include "base/KeyHash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace bergamotweir::agent {

namespace {

/** Time after which a request counts half. */
constexpr std::chrono::duration<double> HalfLife{2};
/** Part of the requests below which a route is minor. */
constexpr double MinorShare = 0.02;
/** Counts below this are dropped when a new route needs room. */
constexpr double MinCount = 0.1;

double current(const RouteShares::Count &count, BootTime now)
{
    return count.requests * std::exp2(-(now - count.updatedAt) / HalfLife);
}

void increment(RouteShares::Count &count, BootTime now)
{
    count.requests = current(count, now) + 1;
    count.updatedAt = now;
}

} // namespace

RouteTag routeTagOf(std::string_view route)
{
    constexpr std::uint64_t TagCount = std::numeric_limits<RouteTag>::max();
    return static_cast<RouteTag>(hashKey(route) % TagCount + 1);
}

void countRequest(RouteShares &shares, RouteTag route, BootTime now)
{
    increment(shares.all, now);
    if (!shares.routes.contains(route) && shares.routes.size() >= RouteShares::MaxRoutes) {
        std::erase_if(shares.routes, [now](const auto &entry) {
            return current(entry.second, now) < MinCount;
        });
        if (shares.routes.size() >= RouteShares::MaxRoutes) {
            return;
        }
    }
    increment(shares.routes[route], now);
}

bool isMinorRoute(const RouteShares &shares, RouteTag route, BootTime now)
{
    if (route == 0) {
        return false;
    }
    const auto found = shares.routes.find(route);
    const double requests = found == shares.routes.end() ? 0 : current(found->second, now);
    // The request itself may be the route's only one.
    return std::max(0.0, requests - 1) < MinorShare * current(shares.all, now);
}

} // namespace bergamotweir::agent
