#include "table/CallerIdentity.h"

namespace bergamotweir::table {

CallerIdentity identify(const RouteTable &routes, const Route &route, const std::vector<Credentials> &credentials)
{
    if (!routes.requiresCallerKeys()) {
        return {};
    }
    if (credentials.size() > 1) {
        return {KeyVerdict::Missing};
    }
    if (credentials.empty() || !credentials.front().ownScheme) {
        return {route.allowsKeylessCallers ? KeyVerdict::Anonymous : KeyVerdict::Missing};
    }
    if (credentials.front().key.empty()) {
        return {KeyVerdict::Missing};
    }
    const Workspace *workspace = routes.workspaceOf(credentials.front().key);
    return {workspace == nullptr ? KeyVerdict::Unknown : KeyVerdict::Known, workspace};
}

} // namespace bergamotweir::table
