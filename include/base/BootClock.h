#pragma once

#include <chrono>

namespace bergamotweir {

/**
 * Time since boot, counting the time a VM was suspended.
 * Leases are measured on it: a monotonic clock stops while a VM is suspended, so a lease held across a suspension would
 * look valid after another replica has already been granted the keys.
 * Decision logic takes time points as arguments; only the code that does input and output calls now().
 */
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    /** @return the current time, from CLOCK_BOOTTIME. Defined in the loop module. */
    static time_point now() noexcept;
};

/** A time point of the boot clock. */
using BootTime = BootClock::time_point;

} // namespace bergamotweir
