#pragma once

#include "agent/RequestState.h"
#include "process/RequestRunner.h"

namespace bergamotweir::process {

/** What belongs to a live attempt beside its state. */
struct RequestRunner::LiveAttempt {
    std::uint32_t upstream = 0;
    bool local = false;
    std::uint64_t ticket = 0;
    net::CallId call = 0;
    BootTime begunAt;
    /** Handed to the upstream beside this agent. */
    BootTime dispatchedAt;
    net::HttpAnswer answer;
};

/** A request in progress: its state, and what the actions need. */
struct RequestRunner::Running {
    Number number = 0;
    Origin origin = Origin::Caller;
    std::shared_ptr<net::Exchange> exchange;
    ParsedRequest parsed;
    agent::RequestState state;
    BootTime acceptedAt;
    std::map<unsigned, LiveAttempt> attempts;
    wire::ClaimReply claim;
    bool claimPending = false;
    /** Events that came up while an earlier one was handled. */
    std::deque<agent::RequestEvent> events;
    bool handling = false;
    bool waits = false;
    loop::TimerId deadlineTimer = 0;
    loop::TimerId waitTimer = 0;
    loop::TimerId hedgeTimer = 0;
};

} // namespace bergamotweir::process
