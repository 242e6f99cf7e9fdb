#pragma once

#include "base/BootClock.h"
#include "loop/LogSite.h"

#include <cstdint>
#include <map>
#include <optional>

namespace bergamotweir::loop {

/**
 * Limits the rate of log messages per call site.
 * Guards against a log that fills the disk or slows the process: under load or during a fault, a single call site may
 * log thousands of messages a second. Each call site has its own allowance, so that a noisy one does not suppress the
 * others. As the number of call sites is fixed, the total rate is bounded.
 * Owned by the log; not thread-safe.
 */
class LogLimiter
{
public:
    static constexpr unsigned MaxPerWindow = 10;
    static constexpr std::chrono::seconds Window{10};

    /** The maximum number of messages that one call site may write within a time window. */
    struct Bound {
        unsigned maxMessages = MaxPerWindow;
        std::chrono::seconds window = Window;
    };

    /**
     * @param site the call site
     * @param now the current time
     * @param bound the bound of this call site
     * @return how many messages of this call site were suppressed since the last one written; std::nullopt if this one
     *         is suppressed as well
     */
    std::optional<std::uint64_t> allow(const LogSite &site, BootTime now, const Bound &bound);

    /** Applies the default bound. */
    std::optional<std::uint64_t> allow(const LogSite &site, BootTime now)
    {
        return this->allow(site, now, Bound{});
    }

private:
    struct Allowance {
        BootTime windowStartAt{};
        unsigned written = 0;
        std::uint64_t suppressed = 0;
    };

    std::map<LogSite, Allowance> sites;
};

} // namespace bergamotweir::loop
