#pragma once

#include "agent/AttemptOutcome.h"
#include "agent/QueuePriority.h"
#include "base/BootClock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bergamotweir::agent {

/** What can be said about whether a request ran. */
enum class Ran { No, Unknown, Yes };

/** Where a request stands, beside its attempts. */
enum class Stage {
    Accepted,
    /** The claim of its Idempotency-Key is being asked for. */
    Claiming,
    /** Held back for a short while: no owner now, a move in progress, or a pause before a retry. */
    Waiting,
    /** At least one attempt is live. */
    Running,
    /** The caller has its answer or is gone; a claim's outcome may still be on its way to control. */
    Ended
};

/** Where one attempt stands. */
enum class AttemptStage {
    /** In the local gate's queue: surely not sent. */
    Queued,
    /** Handed to the upstream beside this agent. */
    Dispatched,
    /** Handed to another agent. */
    Forwarded
};

/** One live try at one upstream. */
struct Attempt {
    unsigned id = 0;
    std::uint32_t upstream = 0;
    AttemptStage stage = AttemptStage::Queued;
};

/** Attempts of one request at most, hedges and retries together; waiting for an owner isn't counted. */
constexpr unsigned MaxTries = 3;

/** What is known of a request when it is accepted. */
struct RequestFacts {
    std::string service;
    std::string method;
    bool keyed = false;
    /** Hash of the Routing-Key; only for keyed services. */
    std::uint64_t hash = 0;
    /** POST or PATCH with an Idempotency-Key, at the agent that the caller sent it to. */
    bool claimed = false;
    /** It came from another agent, which keeps claims and retries to itself. */
    bool forwarded = false;
    BootTime deadline;
    /** Whether a request that may have run may be sent again, where the routes say so; else the method tells. */
    std::optional<bool> repeatable = std::nullopt;
    /** Most upstreams that it may be sent to. */
    unsigned maxTries = MaxTries;
    /** How long waiting makes sense, and who goes before whom. */
    QueuePriority queuePriority = {};
    /** Whether a second send may run beside a slow first one. */
    bool canHedge = true;
};

/**
 * The life of one request, as plain data; step() alone changes it.
 * Owned by whoever carries out the actions: the agent process, or a test.
 */
struct RequestState {
    RequestFacts facts;
    Stage stage = Stage::Accepted;
    /** The worst that ended attempts and earlier sends under the same Idempotency-Key left behind. */
    Ran ran = Ran::No;
    bool claimGranted = false;
    std::vector<Attempt> live;
    unsigned lastAttempt = 0;
    /** Attempts begun, hedges included. */
    unsigned tries = 0;
    bool hedged = false;
    /** Whether the next routed attempt is the hedge. */
    bool routingHedge = false;
    /** Upstreams that ended an attempt without an answer. */
    std::vector<std::uint32_t> tried;
    /** How the last attempt without an answer ended. */
    AttemptOutcome lastOutcome = AttemptOutcome::NotOwner;
};

/** @return whether the request may be sent again although an earlier send may have run */
bool canRetry(const RequestFacts &facts);

/** @return whether RFC 9110 lets the method be sent twice */
bool isIdempotent(const std::string &method);

/** @return whether a second send may run beside the first: only reads */
bool isRead(const std::string &method);

} // namespace bergamotweir::agent
