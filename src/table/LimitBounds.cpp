#include "table/LimitBounds.h"

#include <algorithm>
#include <cmath>

namespace bergamotweir::table {

bool isLimited(const Workspace &workspace)
{
    return workspace.ratePerSecond > 0;
}

double maxInWindow(const Workspace &workspace, const LimitBounds &bounds)
{
    const double seconds = std::chrono::duration<double>(bounds.window).count();
    const double allowedRequests = workspace.ratePerSecond * seconds + workspace.burst;
    return std::max(1.0, std::floor(allowedRequests * (1 + bounds.overage) + bounds.slack));
}

} // namespace bergamotweir::table
