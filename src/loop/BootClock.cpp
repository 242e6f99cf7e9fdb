#include "base/BootClock.h"

#include <ctime>

namespace bergamotweir {

BootClock::time_point BootClock::now() noexcept
{
    timespec spec{};
    clock_gettime(CLOCK_BOOTTIME, &spec);
    return time_point(std::chrono::seconds(spec.tv_sec) + std::chrono::nanoseconds(spec.tv_nsec));
}

} // namespace bergamotweir
