#include "agent/ComeBack.h"

namespace bergamotweir::agent {

namespace {

using std::chrono::milliseconds;

/** Within the time of one request of the heavy services, a slot comes free many times. */
constexpr milliseconds ShortestForRoom{150};
constexpr milliseconds LongestForRoom{500};
/** Half a heartbeat of 0.9 to 1.5 s; above 0.66 s callers with a deadline of 2 s don't wait for so long. */
constexpr milliseconds ShortestForOwner{400};
constexpr milliseconds LongestForOwner{650};

} // namespace

milliseconds comeBackAfter(AttemptEnd end, pcg32 &random)
{
    const bool noOwner = end == AttemptEnd::NotOwner || end == AttemptEnd::Disowned || end == AttemptEnd::NotSent;
    const milliseconds shortest = noOwner ? ShortestForOwner : ShortestForRoom;
    const milliseconds longest = noOwner ? LongestForOwner : LongestForRoom;
    return shortest + milliseconds(random(static_cast<std::uint32_t>((longest - shortest).count())));
}

} // namespace bergamotweir::agent
