#pragma once

namespace bergamotweir::table {

/** What a route's requests may have done to them. */
enum class RouteKind {
    /** A request may be sent again whatever became of an earlier send. */
    Idempotent,
    /** A request runs at most once. */
    NonIdempotent,
    /** A large body; runs at most once. */
    Upload
};

/** @return whether a request that may have run may be sent again */
bool canRetry(RouteKind kind);

/** @return the kind's name, for logs and metrics */
const char *toText(RouteKind kind);

} // namespace bergamotweir::table
