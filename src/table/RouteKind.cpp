#include "table/RouteKind.h"

namespace bergamotweir::table {

bool canRetry(RouteKind kind)
{
    return kind == RouteKind::Idempotent;
}

const char *toText(RouteKind kind)
{
    switch (kind) {
    case RouteKind::Idempotent:
        return "idempotent";
    case RouteKind::NonIdempotent:
        return "non_idempotent";
    case RouteKind::Upload:
        break;
    }
    return "upload";
}

} // namespace bergamotweir::table
