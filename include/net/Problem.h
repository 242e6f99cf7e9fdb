#pragma once

#include "net/HttpAnswer.h"

#include <string_view>

namespace bergamotweir::net {

/** Whether the request ran, as the answer states it in the header Request-Ran. */
enum class RequestRan {
    No,
    Unknown,
    Yes,
};

/**
 * Creates an answer that this system gives itself, as application/problem+json (RFC 9457).
 * @param status the HTTP status
 * @param title short text, the same for each answer of this kind
 * @param detail what happened this time, for human readers; must not contain payload or a full key
 * @param ran whether the request ran; No only if that is provable
 * @return the answer, with Content-Type and Request-Ran set
 */
HttpAnswer problem(int status, std::string_view title, std::string_view detail, RequestRan ran);

} // namespace bergamotweir::net
