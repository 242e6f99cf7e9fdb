#pragma once

#include "agent/RequestAction.h"
#include "agent/RequestEvent.h"

#include <pcg_random.hpp>

namespace bergamotweir::agent {

struct RetryBudget;

/** What a step may draw on; all owned by the caller of step(). */
struct RequestContext {
    /** The service's budgets. */
    RetryBudget *retries = nullptr;
    RetryBudget *hedges = nullptr;
    pcg32 *random = nullptr;
};

/** Bounds of the pause before a request that found no owner or no room looks again. */
constexpr std::chrono::milliseconds MinPause{5};
constexpr std::chrono::milliseconds MaxPause{25};

/**
 * Moves a request on by one event.
 * Guards kept here: a non-idempotent request is never sent again once it may have run, whatever ended the attempt;
 * Request-Ran "no" is given only when every attempt, and under an Idempotency-Key every earlier send, surely didn't
 * run; a request given up on is answered in the same step; an ended request acts no more.
 * @param now the time of the event
 * @return what to do, in this order
 */
std::vector<RequestAction>
step(RequestState &state, const RequestEvent &event, BootTime now, const RequestContext &context);

} // namespace bergamotweir::agent
