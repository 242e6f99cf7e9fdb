#pragma once

#include <cstdint>
#include <string_view>

namespace bergamotweir {

/**
 * Places a routing key in the hash space that slices divide.
 * @param key the Routing-Key as the caller sent it
 * @return its XXH3 64-bit hash
 */
std::uint64_t hashKey(std::string_view key);

} // namespace bergamotweir
