#include "process/HeartbeatTimes.h"

#include <algorithm>

namespace bergamotweir::process {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds MinSilence{3500};
/** Time by which two heartbeats in a row may be late together. */
constexpr milliseconds MaxLateness{500};
/** A change of leader, during which no lease is renewed, takes about a second. */
constexpr milliseconds MinLease{4000};
/** Time between the renewal that a grant depends on and the upstream's receipt of the next grant. */
constexpr milliseconds RenewalAge{1000};
constexpr int LeaseToDrift = 20;

} // namespace

HeartbeatTimes heartbeatTimes(milliseconds interval)
{
    const milliseconds lease = std::max(MinLease, interval + interval / 2 + RenewalAge);
    return {
        .silence = std::max(MinSilence, 2 * interval + MaxLateness),
        .lease = lease,
        .leaseDrift = lease / LeaseToDrift,
    };
}

} // namespace bergamotweir::process
