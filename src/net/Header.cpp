#include "net/Header.h"

#include <algorithm>
#include <array>
#include <strings.h>

namespace bergamotweir::net {

namespace {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

constexpr std::array<std::string_view, 11> ConnectionHeaders = {"Connection",
                                                                "Content-Length",
                                                                "Expect",
                                                                "Keep-Alive",
                                                                "Proxy-Authenticate",
                                                                "Proxy-Authorization",
                                                                "Proxy-Connection",
                                                                "TE",
                                                                "Trailer",
                                                                "Transfer-Encoding",
                                                                "Upgrade"};

} // namespace

const std::string *findHeader(const std::vector<Header> &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const Header &header) {
        return equalsIgnoringCase(header.name, name);
    });
    return found == headers.end() ? nullptr : &found->value;
}

bool isConnectionHeader(std::string_view name)
{
    return std::any_of(ConnectionHeaders.begin(), ConnectionHeaders.end(), [&](std::string_view header) {
        return equalsIgnoringCase(header, name);
    });
}

} // namespace bergamotweir::net
