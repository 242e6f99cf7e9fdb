#pragma once

#include "net/HttpAnswer.h"

#include <string_view>

namespace bergamotweir::net {

/** What the answer says of the request (header Request-Ran). */
enum class RequestRan {
    No,
    Unknown,
    Yes,
};

/**
 * Makes an answer of the system's own, as application/problem+json (RFC 9457).
 * @param status the HTTP status
 * @param title short text that is the same for each answer of this kind
 * @param detail what happened this time, for people; must hold no payload and no full key
 * @param ran whether the request ran; No only where that is provable
 * @return the answer, with Content-Type and Request-Ran set
 */
HttpAnswer problem(int status, std::string_view title, std::string_view detail, RequestRan ran);

} // namespace bergamotweir::net
