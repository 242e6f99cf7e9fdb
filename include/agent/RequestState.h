#pragma once

#include "agent/AttemptOutcome.h"
#include "agent/QueuePriority.h"
#include "base/BootClock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bergamotweir::agent {

/** Whether a request ran, as far as this is known. */
enum class Ran { No, Unknown, Yes };

/** Stage of a request; its attempts have stages of their own. */
enum class Stage {
    Accepted,
    /** Its Idempotency-Key is being claimed at control. */
    Claiming,
    /** Held for a short time: there is no owner, a move is in progress, or a retry is delayed. */
    Waiting,
    /** At least one attempt is in progress. */
    Running,
    /** The caller has its answer or has disconnected; the outcome of a claim may still be on its way to control. */
    Ended
};

/** Stage of one attempt. */
enum class AttemptStage {
    /** In the local gate's queue; definitely not sent. */
    Queued,
    /** Sent to the local upstream. */
    Dispatched,
    /** Sent to another agent. */
    Forwarded
};

/** One attempt in progress at one upstream. */
struct Attempt {
    unsigned id = 0;
    std::uint32_t upstream = 0;
    AttemptStage stage = AttemptStage::Queued;
};

/** Maximum number of attempts of one request, hedges and retries included; waiting for an owner isn't counted. */
constexpr unsigned MaxTries = 3;

/** Maximum number of slow or rate-limited upstreams that one request avoids. */
constexpr unsigned MaxDiversions = 2;

/** Properties of a request that are known when it is accepted. */
struct RequestFacts {
    std::string service;
    std::string method;
    bool keyed = false;
    /** Hash of the Routing-Key; only for keyed services. */
    std::uint64_t hash = 0;
    /** POST or PATCH with an Idempotency-Key, at the agent that received it from the caller. */
    bool claimed = false;
    /** Received from another agent, which alone is responsible for claims and retries. */
    bool forwarded = false;
    BootTime deadline;
    /** Whether the request may be sent again after it may have run, as set by the routes; unset: the method decides. */
    std::optional<bool> repeatable = std::nullopt;
    /** Maximum number of attempts. */
    unsigned maxTries = MaxTries;
    /** Order and deadlines of waiting. */
    QueuePriority queuePriority = {};
    /** Whether a second attempt may run in parallel to a slow first one. */
    bool canHedge = true;
};

/**
 * State of one request. Plain data, changed only by step().
 * Owned by the code that executes the actions: the agent process, or a test.
 */
struct RequestState {
    RequestFacts facts;
    Stage stage = Stage::Accepted;
    /** Highest value over all ended attempts and earlier sends under the same Idempotency-Key. */
    Ran ran = Ran::No;
    bool claimGranted = false;
    std::vector<Attempt> live;
    unsigned lastAttempt = 0;
    /** Number of attempts begun, hedges included. */
    unsigned tries = 0;
    /** Number of attempts that ended because the upstream was slow or rate-limited; they don't count as tries. */
    unsigned diversions = 0;
    bool hedged = false;
    /** Whether the next routed attempt is the hedge. */
    bool routingHedge = false;
    /** Upstreams at which an attempt ended without an answer. */
    std::vector<std::uint32_t> tried;
    /** Outcome of the last attempt without an answer. */
    AttemptOutcome lastOutcome = AttemptOutcome::NotOwner;
};

/** @return whether a slow or rate-limited upstream should leave the request to another one */
bool mayDivert(const RequestState &state);

/** @return whether the request may be sent again after an earlier send that may have run */
bool canRetry(const RequestFacts &facts);

/** @return whether the method is idempotent according to RFC 9110 */
bool isIdempotent(const std::string &method);

/** @return whether the method is a read; only reads may be hedged */
bool isRead(const std::string &method);

} // namespace bergamotweir::agent
