#pragma once

#include "table/Workspace.h"

#include <chrono>

namespace bergamotweir::table {

/** How far the requests of a workspace may exceed its limit; the same for all agents and replicas of a deployment. */
struct LimitBounds {
    /** In every window of this length, (rate x window + burst) x (1 + overage) + slack requests may run. */
    std::chrono::milliseconds window{std::chrono::seconds(5)};
    double overage = 0;
    double slack = 0;
};

/** @return true when the workspace has a limit */
bool isLimited(const Workspace &workspace);

/** @return maximum number of requests that all agents together may admit in every window; at least 1 */
double maxInWindow(const Workspace &workspace, const LimitBounds &bounds);

} // namespace bergamotweir::table
