#include "base/KeyHash.h"

#include <xxhash.h>

namespace bergamotweir {

std::uint64_t hashKey(std::string_view key)
{
    return XXH3_64bits(key.data(), key.size());
}

} // namespace bergamotweir
