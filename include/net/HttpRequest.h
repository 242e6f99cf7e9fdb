#pragma once

#include "net/Header.h"

namespace bergamotweir::net {

/** A whole request as the server received it. */
struct HttpRequest {
    std::string method;
    /** Path and query exactly as sent, nothing decoded. */
    std::string target;
    std::vector<Header> headers;
    std::string body;
    /** IP:port of the other side. */
    std::string peer;
};

} // namespace bergamotweir::net
