#pragma once

#include "agent/RequestState.h"
#include "process/RequestRunner.h"

namespace bergamotweir::process {

/** An attempt in flight, beside its part of agent::RequestState. */
struct RequestRunner::LiveAttempt {
    std::uint32_t upstream = 0;
    bool local = false;
    std::uint64_t ticket = 0;
    net::CallId call = 0;
    BootTime begunAt;
    /** When the attempt was sent to the local upstream; unset before. */
    BootTime dispatchedAt;
    net::HttpAnswer answer;
};

/** A request in progress: its state and what its actions need. */
struct RequestRunner::RunningRequest {
    RequestNumber number = 0;
    Origin origin = Origin::Caller;
    std::shared_ptr<net::Exchange> exchange;
    ParsedRequest parsed;
    agent::RequestState state;
    BootTime acceptedAt;
    std::map<unsigned, LiveAttempt> attempts;
    wire::ClaimReply claim;
    bool isClaimPending = false;
    /** Events raised while an earlier one is being handled. */
    std::deque<agent::RequestEvent> events;
    bool isHandlingEvents = false;
    bool isWaiting = false;
    loop::TimerId deadlineTimer = 0;
    loop::TimerId waitTimer = 0;
    loop::TimerId hedgeTimer = 0;
};

} // namespace bergamotweir::process
