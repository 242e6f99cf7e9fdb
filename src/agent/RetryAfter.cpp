#include "agent/RetryAfter.h"

namespace bergamotweir::agent {

namespace {

using std::chrono::milliseconds;

/** Range of the delay after an overload: a few service times. */
constexpr milliseconds MinOverloadedDelay{150};
constexpr milliseconds MaxOverloadedDelay{500};
/** Range of the delay without an owner: about half a heartbeat interval, below a third of a short deadline. */
constexpr milliseconds MinNoOwnerDelay{400};
constexpr milliseconds MaxNoOwnerDelay{650};

} // namespace

milliseconds chooseRetryAfter(AttemptOutcome outcome, pcg32 &random)
{
    const bool hasNoOwner = outcome == AttemptOutcome::NotOwner || outcome == AttemptOutcome::KeyNotHeld
                            || outcome == AttemptOutcome::NotSent;
    const milliseconds minDelay = hasNoOwner ? MinNoOwnerDelay : MinOverloadedDelay;
    const milliseconds maxDelay = hasNoOwner ? MaxNoOwnerDelay : MaxOverloadedDelay;
    return minDelay + milliseconds(random(static_cast<std::uint32_t>((maxDelay - minDelay).count())));
}

} // namespace bergamotweir::agent
