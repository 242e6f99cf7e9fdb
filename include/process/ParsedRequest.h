#pragma once

#include "agent/RequestState.h"
#include "agent/RouteShares.h"
#include "table/RouteKind.h"

#include <cstdint>
#include <string>

namespace bergamotweir::process {

/** A request as parsed by an agent. */
struct ParsedRequest {
    agent::RequestFacts facts;
    /** Time targets of the route. Without routes the timeout is 0, and the queue priority keeps its default. */
    agent::TimeTargets targets;
    std::string key;
    /** Name of the route in the table, for logs and metrics; the service where there are no routes. */
    std::string route;
    /** Tag of the route; 0 if it isn't known. */
    agent::RouteTag routeTag = 0;
    /** Kind given by the route; where there are no routes, the method decides. */
    std::optional<table::RouteKind> kind;
    std::string idempotencyKey;
    std::uint64_t fingerprint = 0;
    /** Service of the VM at which the request began; empty at the agent where it begins. */
    std::string originService;
    /** Workspace of the key that the caller sent; empty for requests without a key. */
    std::string workspace;
    /** The request counts against its workspace's share of the limit. */
    bool countsAgainstShare = false;
    /** The caller's credentials were meant for this system and are not passed on. */
    bool credentialsConsumed = false;
    /**
     * Read only from requests of other agents: the request's id, the upstream that is to run it, and whether the
     * request is suspected of crashing upstreams.
     */
    std::string requestId;
    std::uint32_t requestedUpstream = 0;
    bool suspect = false;
    /** Read only from requests of other agents: a slow upstream should leave the request to another one. */
    bool mayDivert = false;
};

/** Which port a request arrived at: the one for callers or the one for other agents. */
enum class Origin { Caller, Peer };

} // namespace bergamotweir::process
