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

/** Keys of services that are divided by number. */
inline constexpr std::uint64_t NumberedKeyCount = 65536;

/** Part of the hash space that one numbered key takes up. */
inline constexpr std::uint64_t NumberedKeyWidth = std::uint64_t{1} << 48U;

/**
 * Places a numbered key in the hash space, in the order of the numbers: keys that are busy together are neighbours and
 * can be moved as one range.
 * @param key below NumberedKeyCount
 * @return its place, a multiple of NumberedKeyWidth
 */
constexpr std::uint64_t hashOfNumberedKey(std::uint64_t key)
{
    return key * NumberedKeyWidth;
}

} // namespace bergamotweir
