#pragma once

#include "agent/Router.h"
#include "base/BootClock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace bergamotweir::agent {

/**
 * Upstreams that have stated in an answer passed on by this agent that they are leaving.
 *
 * Each agent keeps its own record, so that it stops sending them requests without control, and also when the agent
 * beside such an upstream has restarted and forgotten the statement. An id stands for one process, which never returns
 * to service once it is leaving.
 */
struct LeavingUpstreams {
    /** By upstream id, when the first such answer arrived. */
    std::map<std::uint32_t, BootTime> since;
};

/**
 * How long a leaving upstream still gets requests that no other upstream can run: those in flight, and those for its
 * keys while control moves them.
 */
inline constexpr std::chrono::milliseconds LeavingServeTime{1000};

/** Records that an upstream is leaving. @return whether this wasn't known yet */
bool recordLeaving(LeavingUpstreams &leaving, std::uint32_t upstream, BootTime now);

/** @return whether requests may be sent to the upstream */
bool takesRequests(const LeavingUpstreams &leaving, std::uint32_t upstream, BootTime now);

/** @return the candidates that aren't leaving or, where all are, those that still take requests */
std::vector<Candidate>
withoutLeaving(const LeavingUpstreams &leaving, const std::vector<Candidate> &candidates, BootTime now);

} // namespace bergamotweir::agent
