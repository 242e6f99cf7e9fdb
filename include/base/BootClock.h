#pragma once

#include <chrono>

namespace bergamotweir {

/**
 * Time since boot, counting the time a VM was suspended.
 * Leases are measured on it: a monotonic clock stands still while a VM is suspended, so a lease held across a
 * suspension would look valid after another replica has already been granted the keys.
 * The core takes time points as arguments; only the shell calls now().
 */
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    /** @return the present time; source: CLOCK_BOOTTIME. Defined in the loop module. */
    static time_point now() noexcept;
};

/** A point on the boot clock. */
using BootTime = BootClock::time_point;

} // namespace bergamotweir
