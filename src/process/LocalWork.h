#pragma once

#include "process/LocalUpstream.h"

namespace bergamotweir::process {

/** One request at the upstream. */
struct LocalUpstream::Work {
    Dispatch request;
    std::function<void(DispatchResult)> done;
    net::CallId call = 0;
    /** Where it was sent; a later incarnation may listen elsewhere. */
    std::string address;
    BootTime dispatchedAt;
    /** The upstream's side of the connection broke, as it does when its process ends. */
    bool broken = false;
    /** Given up; counted until it has surely ended. */
    bool lingering = false;
    agent::WorkOutcome outcome = agent::WorkOutcome::Lost;
};

} // namespace bergamotweir::process
