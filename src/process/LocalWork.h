#pragma once

#include "process/LocalUpstream.h"

namespace bergamotweir::process {

/** One request in progress at the upstream. */
struct LocalUpstream::Work {
    Dispatch request;
    std::function<void(DispatchResult)> done;
    net::CallId call = 0;
    /** Address that it was sent to; a later incarnation may listen on another one. */
    std::string address;
    BootTime dispatchedAt;
    /** The upstream closed or reset the connection, as happens when its process ends. */
    bool connectionLost = false;
    /** Cancelled or failed, but possibly still running; counts as in progress until it is known to have ended. */
    bool isAbandoned = false;
    agent::WorkOutcome outcome = agent::WorkOutcome::Lost;
};

} // namespace bergamotweir::process
