#include "loop/LogLimiter.h"

#include <utility>

namespace bergamotweir::loop {

std::optional<std::uint64_t> LogLimiter::allow(const LogSite &site, BootTime now, const Bound &bound)
{
    Allowance &allowance = this->sites[site];
    if (now - allowance.windowStartAt >= bound.window) {
        allowance.windowStartAt = now;
        allowance.written = 0;
    }
    if (allowance.written >= bound.maxMessages) {
        ++allowance.suppressed;
        return std::nullopt;
    }
    ++allowance.written;
    return std::exchange(allowance.suppressed, 0);
}

} // namespace bergamotweir::loop
