#include "table/KeyDigest.h"

#include <sodium.h>

#include <cassert>

namespace bergamotweir::table {

namespace {

constexpr std::size_t DigestBytes = crypto_generichash_BYTES_MIN;

const unsigned char *toBytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

std::string keyDigest(std::string_view key, std::string_view digestKey)
{
    assert(digestKey.size() == DigestKeyBytes);
    std::string digest(DigestBytes, '\0');
    crypto_generichash(reinterpret_cast<unsigned char *>(digest.data()),
                       digest.size(),
                       toBytes(key),
                       key.size(),
                       toBytes(digestKey),
                       digestKey.size());
    return digest;
}

bool equalDigests(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace bergamotweir::table
