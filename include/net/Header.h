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
 * Finds a header field by its name, ignoring letter case.
 * @param headers the fields to search
 * @param name the field's name
 * @return its first value, or nullptr when there is none; valid as long as @p headers
 */
const std::string *findHeader(const std::vector<Header> &headers, std::string_view name);

/**
 * Tells whether a field belongs to one connection (RFC 9110, 7.6.1) or to the framing of one message.
 * HttpServer and HttpClient both write these fields themselves and ignore the ones passed to them.
 * @param name the field's name, in any letter case
 * @return true for Connection, Content-Length, Transfer-Encoding and similar fields
 */
bool isConnectionHeader(std::string_view name);

} // namespace bergamotweir::net
