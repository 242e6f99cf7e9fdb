#pragma once

#include "net/Header.h"

namespace bergamotweir::net {

/** A complete HTTP answer. */
struct HttpAnswer {
    int status = 0;
    std::vector<Header> headers;
    std::string body;
};

} // namespace bergamotweir::net
