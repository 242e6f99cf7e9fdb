#pragma once

#include "agent/RequestAction.h"
#include "agent/RequestEvent.h"

#include <pcg_random.hpp>

namespace bergamotweir::agent {

struct RetryBudget;

/** Resources that a step may use; all owned by the caller of step(). */
struct RequestContext {
    /** The service's budgets. */
    RetryBudget *retries = nullptr;
    RetryBudget *hedges = nullptr;
    pcg32 *random = nullptr;
};

/** Bounds of the jittered delay after which a waiting request is routed or claimed again. */
constexpr std::chrono::milliseconds MinPause{5};
constexpr std::chrono::milliseconds MaxPause{25};

/**
 * Applies one event to a request.
 * Invariants kept here: a non-idempotent request is never sent again once it may have run, however the attempt ended;
 * Request-Ran "no" is returned only when every attempt, and under an Idempotency-Key every earlier send, has definitely
 * not run; a request that is given up is answered in the same step; an ended request causes no further actions, except
 * that a claim granted late is released.
 * @param now the time of the event
 * @return the actions to execute, in this order
 */
std::vector<RequestAction>
step(RequestState &state, const RequestEvent &event, BootTime now, const RequestContext &context);

} // namespace bergamotweir::agent
