#pragma once

namespace bergamotweir::table {

/** Kind of the requests of a route; it decides whether they may be retried. */
enum class RouteKind {
    /** A request may be sent again, even when an earlier send may have run. */
    Idempotent,
    /** A request runs at most once. */
    NonIdempotent,
    /** A large body; runs at most once. */
    Upload
};

/** @return true when a request that may have run may be sent again */
bool canRetry(RouteKind kind);

/** @return the kind's name, for logs and metrics */
const char *toText(RouteKind kind);

} // namespace bergamotweir::table
