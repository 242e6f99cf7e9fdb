#pragma once

#include "agent/AttemptOutcome.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace bergamotweir::process {

/** What an upstream has to know of a request beside the request itself. */
struct RequestMetadata {
    std::uint64_t epoch = 0;
    std::string requestId;
    /** What is left of the request's time. */
    std::chrono::milliseconds timeout{0};
    /** Service of the VM at which the request began; empty when it isn't known. */
    std::string originService;
    /** Whose key the caller sent; empty for requests without a key. */
    std::string workspace = {};
    /** The one process of the upstream that may run it. */
    std::string instance;
};

/** How a call to the upstream ended, in the terms of the core. */
struct AttemptResult {
    agent::AttemptOutcome outcome = agent::AttemptOutcome::ConnectionLost;
    bool mayHaveRun = true;
};

} // namespace bergamotweir::process
