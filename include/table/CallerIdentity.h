#pragma once

#include "table/RouteTable.h"

#include <string_view>
#include <vector>

namespace bergamotweir::table {

/** Result of checking the credentials of a request. */
enum class KeyVerdict {
    /** No key is needed, or the route serves callers without one. */
    Anonymous,
    /** The key belongs to a workspace. */
    Known,
    /** A key is needed and there is none, or there are several credentials fields. */
    Missing,
    /** The key belongs to no workspace. */
    Unknown
};

/** One credentials field of a request, split at its scheme. */
struct Credentials {
    /** Whether the scheme is the one that carries a workspace's key. */
    bool ownScheme = false;
    std::string_view key;
};

/** Identity of a caller. */
struct CallerIdentity {
    KeyVerdict verdict = KeyVerdict::Anonymous;
    /** Set for a known key; valid as long as the table of routes. */
    const Workspace *workspace = nullptr;
};

/**
 * Identifies the caller of one request, independent of earlier requests on its connection.
 * @param credentials one entry for each credentials field of the request
 */
CallerIdentity identify(const RouteTable &routes, const Route &route, const std::vector<Credentials> &credentials);

} // namespace bergamotweir::table
