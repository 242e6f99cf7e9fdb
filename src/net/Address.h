#pragma once

#include <ace/INET_Addr.h>

#include <cstdint>
#include <optional>
#include <string>

namespace bergamotweir::net {

/** @param ip IPv4 address in dotted notation @return the address; std::nullopt if @p ip is malformed */
std::optional<ACE_INET_Addr> makeAddress(const std::string &ip, std::uint16_t port);

/** @param text IP:port @return the address; std::nullopt if @p text is malformed */
std::optional<ACE_INET_Addr> parseAddress(const std::string &text);

} // namespace bergamotweir::net
