#include "net/Address.h"

#include <arpa/inet.h>

#include <charconv>

namespace bergamotweir::net {

std::optional<ACE_INET_Addr> makeAddress(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
        return std::nullopt;
    }
    return ACE_INET_Addr(&address, sizeof address);
}

std::optional<ACE_INET_Addr> parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *const end = text.data() + text.size();
    const auto [parsedEnd, error] = std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc() || parsedEnd != end) {
        return std::nullopt;
    }
    return makeAddress(text.substr(0, colon), port);
}

} // namespace bergamotweir::net
