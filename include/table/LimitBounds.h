#pragma once

#include "table/Workspace.h"

#include <chrono>

namespace bergamotweir::table {

/** How far a workspace's requests may exceed its limit; the same for all agents and replicas of a deployment. */
struct LimitBounds {
    /** In every window of this length, (rate x window + burst) x (1 + overage) + slack requests may run. */
    std::chrono::milliseconds window{std::chrono::seconds(5)};
    double overage = 0;
    double slack = 0;
};

/** @return whether the workspace has a limit */
bool isLimited(const Workspace &workspace);

/** @return requests that all agents together may let through in every window; 1 at least */
double maxInWindow(const Workspace &workspace, const LimitBounds &bounds);

} // namespace bergamotweir::table
