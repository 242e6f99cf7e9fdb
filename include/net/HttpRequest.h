#pragma once

#include "net/Header.h"

namespace bergamotweir::net {

/** A complete request as the server received it. */
struct HttpRequest {
    std::string method;
    /** Path and query exactly as sent, not decoded. */
    std::string target;
    std::vector<Header> headers;
    std::string body;
    /** IP:port of the caller's end of the connection. */
    std::string peer;
};

} // namespace bergamotweir::net
