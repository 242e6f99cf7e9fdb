#include "agent/RetryAfter.h"

namespace bergamotweir::agent {

namespace {

using std::chrono::milliseconds;

/** Delay range when there was no room: a few service times. */
constexpr milliseconds ShortestForRoom{150};
constexpr milliseconds LongestForRoom{500};
/** Delay range when there was no owner: about half a heartbeat interval, below a third of a short deadline. */
constexpr milliseconds ShortestForOwner{400};
constexpr milliseconds LongestForOwner{650};

} // namespace

milliseconds chooseRetryAfter(AttemptOutcome outcome, pcg32 &random)
{
    const bool noOwner = outcome == AttemptOutcome::NotOwner || outcome == AttemptOutcome::KeyNotHeld
                         || outcome == AttemptOutcome::NotSent;
    const milliseconds shortest = noOwner ? ShortestForOwner : ShortestForRoom;
    const milliseconds longest = noOwner ? LongestForOwner : LongestForRoom;
    return shortest + milliseconds(random(static_cast<std::uint32_t>((longest - shortest).count())));
}

} // namespace bergamotweir::agent
