#pragma once

#include "agent/AttemptOutcome.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace bergamotweir::process {

/** What an upstream needs to know about a request besides the request itself. */
struct RequestMetadata {
    std::uint64_t epoch = 0;
    std::string requestId;
    /** Time left until the request's deadline. */
    std::chrono::milliseconds timeout{0};
    /** Service of the VM at which the request began; empty when unknown. */
    std::string originService;
    /** Workspace of the key that the caller sent; empty for requests without a key. */
    std::string workspace = {};
    /** The only process of the upstream that may run the request. */
    std::string instance;
};

/** How a call to the upstream ended, in the terms of the core. */
struct AttemptResult {
    agent::AttemptOutcome outcome = agent::AttemptOutcome::ConnectionLost;
    bool mayHaveRun = true;
};

} // namespace bergamotweir::process
