#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace bergamotweir::table {

/** Bytes of the secret that digests are made with. */
inline constexpr std::size_t DigestKeyBytes = 32;

/**
 * Makes the keyed hash (BLAKE2b) by which a caller's key is recognised, so that agents need not know the keys.
 * @param key as the caller sends it
 * @param digestKey secret of the control group, DigestKeyBytes long
 * @return 16 bytes
 */
std::string keyDigest(std::string_view key, std::string_view digestKey);

/** @return whether two digests are equal; takes the same time wherever they differ */
bool equalDigests(std::string_view left, std::string_view right);

} // namespace bergamotweir::table
