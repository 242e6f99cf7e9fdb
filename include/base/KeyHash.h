#pragma once

#include <cstdint>
#include <string_view>

namespace bergamotweir {

/**
 * Maps a routing key into the hash space that is divided into slices.
 * @param key the Routing-Key as the caller sent it
 * @return its XXH3 64-bit hash
 */
std::uint64_t hashKey(std::string_view key);

/** Number of keys of a service with numbered keys. */
inline constexpr std::uint64_t NumberedKeyCount = 65536;

/** Width of the hash range of one numbered key. */
inline constexpr std::uint64_t NumberedKeyWidth = std::uint64_t{1} << 48U;

/**
 * Maps a numbered key into the hash space in the order of the numbers: keys that are busy together are adjacent and can
 * be moved as one range.
 * @param key below NumberedKeyCount
 * @return the start of its hash range, a multiple of NumberedKeyWidth
 */
constexpr std::uint64_t hashOfNumberedKey(std::uint64_t key)
{
    return key * NumberedKeyWidth;
}

} // namespace bergamotweir
