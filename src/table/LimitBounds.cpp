#include "table/LimitBounds.h"

#include <algorithm>

namespace bergamotweir::table {

bool isLimited(const Workspace &workspace)
{
    return workspace.ratePerSecond > 0;
}

double mostTokens(const Workspace &workspace, const LimitBounds &bounds)
{
    const double perWindow = workspace.ratePerSecond * std::chrono::duration<double>(bounds.window).count();
    return std::max(1.0, workspace.burst + (perWindow + workspace.burst) * bounds.overage + bounds.slack);
}

} // namespace bergamotweir::table
