#pragma once

#include "base/BootClock.h"
#include "loop/LogSite.h"

#include <cstdint>
#include <map>
#include <optional>

namespace bergamotweir::loop {

/**
 * Decides which messages of a log are written.
 * Guards against a log that fills the disk or slows the process: under load or during a fault one line of the program
 * may want to write thousands of messages a second. Each line of the program has its own allowance, so that a noisy one
 * can't crowd out the others, and there are only so many lines; hence the log is bounded.
 * Owned by the log; not thread-safe.
 */
class LogLimiter
{
public:
    static constexpr unsigned MaxPerWindow = 10;
    static constexpr std::chrono::seconds Window{10};

    /** How many messages of one line of the program are written in which time. */
    struct Bound {
        unsigned maxMessages = MaxPerWindow;
        std::chrono::seconds window = Window;
    };

    /**
     * @param site the line of the program that wants to write
     * @param now the present time
     * @param bound of this line of the program
     * @return how many messages of this line were left out since the last one written; nothing when this one is left
     *         out as well
     */
    std::optional<std::uint64_t> allow(const LogSite &site, BootTime now, const Bound &bound);

    /** The same within the bound of ordinary messages. */
    std::optional<std::uint64_t> allow(const LogSite &site, BootTime now)
    {
        return this->allow(site, now, Bound{});
    }

private:
    struct Allowance {
        BootTime start{};
        unsigned written = 0;
        std::uint64_t suppressed = 0;
    };

    std::map<LogSite, Allowance> sites;
};

} // namespace bergamotweir::loop
