#pragma once

#include "agent/RequestState.h"
#include "table/RouteKind.h"

#include <cstdint>
#include <string>

namespace bergamotweir::process {

/** A request as an agent understands it. */
struct ParsedRequest {
    agent::RequestFacts facts;
    /** What the route says of its time; no timeout where there are no routes, and its urgency stays the default. */
    agent::TimeTargets targets;
    std::string key;
    /** What the table calls the route, for logs and metrics; the service where there are no routes. */
    std::string route;
    /** What the route says of it; where there are no routes, the method does. */
    std::optional<table::RouteKind> kind;
    std::string idempotencyKey;
    std::uint64_t fingerprint = 0;
    /** Service of the VM at which the request began; empty at the agent where it begins. */
    std::string originService;
    /** Whose key the caller sent; empty for requests without a key. */
    std::string workspace;
    /** Its workspace's share of the limit counts it. */
    bool countsAgainstShare = false;
    /** The caller's credentials were for this system and are not passed on. */
    bool credentialsConsumed = false;
    /** Only from another agent: its name for the request, the upstream that it wants, and whether it is a suspect. */
    std::string requestId;
    std::uint32_t requestedUpstream = 0;
    bool suspect = false;
};

/** Which port a request came in by. */
enum class Origin { Caller, Peer };

} // namespace bergamotweir::process
