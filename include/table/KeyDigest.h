#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace bergamotweir::table {

/** Length of the secret that digests are made with. */
inline constexpr std::size_t DigestKeyBytes = 32;

/**
 * Computes the keyed hash (BLAKE2b) that identifies a caller's key, so that agents need not store the keys.
 * @param key as the caller sends it
 * @param digestKey secret of the control group, DigestKeyBytes long
 * @return 16 bytes
 */
std::string keyDigest(std::string_view key, std::string_view digestKey);

/** @return true when two digests are equal; compares in constant time for digests of equal length */
bool equalDigests(std::string_view left, std::string_view right);

} // namespace bergamotweir::table
