#pragma once

#include "table/RouteTable.h"

#include <string_view>
#include <vector>

namespace bergamotweir::table {

/** What a request's credentials say of its caller. */
enum class KeyVerdict {
    /** No key is needed, or the route serves callers without one. */
    Anonymous,
    /** The key belongs to a workspace. */
    Known,
    /** A key is needed and there is none, or it can't be told which one is meant. */
    Missing,
    /** No workspace holds the key. */
    Unknown
};

/** One credentials field of a request, split at its scheme. */
struct Credentials {
    /** Whether the scheme is the one that carries a workspace's key. */
    bool ownScheme = false;
    std::string_view key;
};

/** Who a caller is. */
struct CallerIdentity {
    KeyVerdict verdict = KeyVerdict::Anonymous;
    /** Set for a known key; valid as long as the table. */
    const Workspace *workspace = nullptr;
};

/**
 * Judges one request by itself, whatever was sent on its connection before.
 * @param credentials of each field that the request carries
 */
CallerIdentity identify(const RouteTable &routes, const Route &route, const std::vector<Credentials> &credentials);

} // namespace bergamotweir::table
