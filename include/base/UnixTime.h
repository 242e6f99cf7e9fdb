#pragma once

#include <chrono>
#include <cstdint>

namespace bergamotweir {

/** Wall-clock time, for values that people and other processes read; never for leases or deadlines. */
using UnixTime = std::chrono::sys_time<std::chrono::milliseconds>;

/** @param millis milliseconds since 1970, as messages carry them */
constexpr UnixTime fromUnixMillis(std::uint64_t millis)
{
    return UnixTime(std::chrono::milliseconds(millis));
}

/** @return milliseconds since 1970, as messages carry them */
constexpr std::uint64_t toUnixMillis(UnixTime time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

} // namespace bergamotweir
