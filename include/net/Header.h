#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bergamotweir::net {

/** One HTTP header field. */
struct Header {
    std::string name;
    std::string value;

    bool operator==(const Header &other) const = default;
};

/**
 * Finds a header field by its name, without regard to letter case.
 * @param headers where to look
 * @param name the field's name
 * @return its first value, or nullptr when there is none; valid as long as @p headers
 */
const std::string *findHeader(const std::vector<Header> &headers, std::string_view name);

/**
 * Tells the fields that belong to one connection (RFC 9110, 7.6.1) or to the framing of one message.
 * Both HttpServer and HttpClient write these themselves and ignore the ones they are given.
 * @param name the field's name, in any letter case
 * @return true for Connection, Content-Length, Transfer-Encoding and their like
 */
bool isConnectionHeader(std::string_view name);

} // namespace bergamotweir::net
