#include "agent/RequestStep.h"

#include "agent/RetryBudget.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <string_view>

namespace bergamotweir::agent {

namespace {

using Actions = std::vector<RequestAction>;

void raiseTo(Ran &ran, Ran other)
{
    ran = std::max(ran, other);
}

/** @return whether the request may have run if it is given up now; a live attempt that was sent may still run */
Ran ranIfGivenUp(const RequestState &state)
{
    Ran ran = state.ran;
    for (const Attempt &attempt : state.live) {
        if (attempt.stage != AttemptStage::Queued) {
            raiseTo(ran, Ran::Unknown);
        }
    }
    return ran;
}

void cancelLive(RequestState &state, Actions &actions)
{
    for (const Attempt &attempt : state.live) {
        actions.push_back({.kind = ActionKind::Cancel, .attempt = attempt.id});
    }
    state.live.clear();
}

void record(const RequestState &state, ClaimResolution resolution, unsigned attempt, Actions &actions)
{
    if (state.claimGranted) {
        actions.push_back({.kind = ActionKind::Record, .attempt = attempt, .claimResolution = resolution});
    }
}

int statusOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::OverLimit:
        return 429;
    case AttemptOutcome::Quarantined:
        return 422;
    case AttemptOutcome::TimedOut:
        return 504;
    case AttemptOutcome::NotOwner:
    case AttemptOutcome::KeyNotHeld:
    case AttemptOutcome::Overloaded:
    case AttemptOutcome::Slow:
    case AttemptOutcome::RateLimited:
    case AttemptOutcome::NotSent:
        return 503;
    default:
        return 502;
    }
}

bool isRetryable(int status)
{
    return status == 429 || status == 503;
}

/** Ends the request with a problem; the answer is sent before the claim's outcome. */
void refuse(RequestState &state, RefusalDetails refusal, Actions &actions)
{
    refusal.ran = ranIfGivenUp(state);
    refusal.retryAfter = isRetryable(refusal.status);
    cancelLive(state, actions);
    state.stage = Stage::Ended;
    state.ran = refusal.ran;
    actions.push_back({.kind = ActionKind::Refuse, .refusal = refusal});
    record(state, refusal.ran == Ran::No ? ClaimResolution::Released : ClaimResolution::Unknown, 0, actions);
}

void refuseAttempt(RequestState &state, Actions &actions)
{
    refuse(state,
           {.cause = RefusalCause::Attempt, .outcome = state.lastOutcome, .status = statusOf(state.lastOutcome)},
           actions);
}

void route(RequestState &state, Actions &actions)
{
    state.stage = Stage::Running;
    actions.push_back({.kind = ActionKind::Route});
}

/** Holds the request for a jittered delay, so that requests refused at the same time don't retry at the same time. */
void wait(RequestState &state, BootTime now, const RequestContext &context, Actions &actions)
{
    const auto spread = static_cast<std::uint32_t>((MaxPause - MinPause).count());
    const std::chrono::milliseconds backoff = MinPause + std::chrono::milliseconds((*context.random)(spread));
    const bool isOwnerChanging = state.facts.keyed && state.lastOutcome == AttemptOutcome::NotOwner;
    const BootTime waitDeadline =
        isOwnerChanging ? state.facts.queuePriority.ownerWaitDeadline : state.facts.queuePriority.dispatchDeadline;
    if (now + backoff >= std::min(state.facts.deadline, waitDeadline)) {
        refuseAttempt(state, actions);
        return;
    }
    state.stage = Stage::Waiting;
    actions.push_back({.kind = ActionKind::Wait, .delay = backoff});
}

void start(RequestState &state, const RequestContext &context, Actions &actions)
{
    // Guards against a request that counts in the budgets of two agents, which would allow more second sends than the
    // ratio: the agent that receives a forwarded request never sends it again, and would save the tokens for the
    // requests of its own callers.
    if (!state.facts.forwarded) {
        deposit(*context.retries);
        deposit(*context.hedges);
    }
    if (!state.facts.claimed) {
        route(state, actions);
        return;
    }
    // An earlier send under the same id may have run; only a granted claim shows that none has.
    state.ran = Ran::Unknown;
    state.stage = Stage::Claiming;
    actions.push_back({.kind = ActionKind::Claim});
}

void claimAnswered(
    RequestState &state, ClaimAnswer answer, BootTime now, const RequestContext &context, Actions &actions)
{
    if (state.stage != Stage::Claiming) {
        return;
    }
    switch (answer) {
    case ClaimAnswer::Granted:
        state.ran = Ran::No;
        state.claimGranted = true;
        route(state, actions);
        return;
    case ClaimAnswer::Recorded:
        state.stage = Stage::Ended;
        actions.push_back({.kind = ActionKind::RelayRecorded});
        return;
    case ClaimAnswer::RecordedWithoutBody:
        state.ran = Ran::Yes;
        refuse(state, {.cause = RefusalCause::ClaimBodyDropped, .status = 409}, actions);
        return;
    case ClaimAnswer::Conflict:
        // Another request holds the id, so this one never ran under it.
        state.ran = Ran::No;
        refuse(state, {.cause = RefusalCause::ClaimConflict, .status = 409}, actions);
        return;
    case ClaimAnswer::Unknown:
        refuse(state, {.cause = RefusalCause::ClaimUnknown, .status = 409}, actions);
        return;
    case ClaimAnswer::Full:
        state.ran = Ran::No;
        refuse(state, {.cause = RefusalCause::ClaimsFull, .status = 503}, actions);
        return;
    case ClaimAnswer::Unavailable:
        refuse(state, {.cause = RefusalCause::ClaimUnavailable, .status = 503}, actions);
        return;
    case ClaimAnswer::InProgress:
        if (now + MaxPause >= state.facts.deadline) {
            refuse(state, {.cause = RefusalCause::ClaimInProgress, .status = 409}, actions);
            return;
        }
        wait(state, now, context, actions);
        return;
    }
}

/** @return whether the request may be hedged: only reads of unkeyed services, which any upstream can answer, and once
 */
bool isHedgeAllowed(const RequestState &state)
{
    return !state.facts.keyed && !state.facts.forwarded && state.facts.canHedge && isRead(state.facts.method)
           && !state.hedged && state.tries < state.facts.maxTries;
}

void routed(
    RequestState &state, const RequestEvent &event, BootTime now, const RequestContext &context, Actions &actions)
{
    const bool hedge = std::exchange(state.routingHedge, false);
    if (event.upstream == 0) {
        if (hedge || !state.live.empty()) {
            return;
        }
        if (state.facts.forwarded) {
            // The agent that forwarded the request waits instead; it receives newer routes first.
            state.lastOutcome = AttemptOutcome::NotOwner;
            refuseAttempt(state, actions);
            return;
        }
        // No upstream at present: a move, a lost upstream being replaced, or all upstreams tried. Not counted as a try.
        if (state.tries == 0) {
            state.lastOutcome = AttemptOutcome::NotOwner;
        }
        state.tried.clear();
        wait(state, now, context, actions);
        return;
    }
    state.tries++;
    state.lastAttempt++;
    const Attempt attempt{
        state.lastAttempt, event.upstream, event.local ? AttemptStage::Queued : AttemptStage::Forwarded};
    state.live.push_back(attempt);
    const ActionKind kind = event.local ? ActionKind::EnterGate : ActionKind::Forward;
    actions.push_back({.kind = kind, .attempt = attempt.id, .upstream = attempt.upstream});
    if (isHedgeAllowed(state)) {
        actions.push_back({.kind = ActionKind::ArmHedge});
    }
}

/**
 * @return whether the attempt failed because the owner is being replaced or is unreachable, which is temporary
 * Such a failure isn't counted as a try: otherwise three quick attempts at a lost owner would use up all tries before
 * the key has its next owner.
 */
bool isRoutingFailure(const RequestState &state)
{
    return state.lastOutcome == AttemptOutcome::NotOwner
           || (state.facts.keyed && state.lastOutcome == AttemptOutcome::NotSent);
}

void attemptFailed(
    RequestState &state, const Attempt &attempt, BootTime now, const RequestContext &context, Actions &actions)
{
    state.tried.push_back(attempt.upstream);
    if (!state.live.empty()) {
        return;
    }
    const bool canSendAgain = state.ran == Ran::No || canRetry(state.facts);
    if (state.facts.forwarded || !canSendAgain || state.lastOutcome == AttemptOutcome::Quarantined) {
        refuseAttempt(state, actions);
        return;
    }
    if (state.lastOutcome == AttemptOutcome::RateLimited && !mayDivert(state)) {
        // The gate has counted how long the request would wait for its turn; asking again would not shorten that.
        refuseAttempt(state, actions);
        return;
    }
    if (state.lastOutcome == AttemptOutcome::Slow || state.lastOutcome == AttemptOutcome::RateLimited) {
        --state.tries;
        ++state.diversions;
        route(state, actions);
        return;
    }
    if (isRoutingFailure(state)) {
        const bool canTryAnother = !state.facts.keyed && state.tries < state.facts.maxTries;
        if (canTryAnother) {
            route(state, actions);
            return;
        }
        state.tries = 0;
        state.tried.clear();
        wait(state, now, context, actions);
        return;
    }
    if (state.tries >= state.facts.maxTries || now >= state.facts.deadline || !withdraw(*context.retries)) {
        refuseAttempt(state, actions);
        return;
    }
    // A keyed request is sent to the same owner again after a delay; another upstream is tried immediately.
    if (state.facts.keyed) {
        wait(state, now, context, actions);
        return;
    }
    route(state, actions);
}

void attemptEnded(
    RequestState &state, const RequestEvent &event, BootTime now, const RequestContext &context, Actions &actions)
{
    const auto found = std::find_if(state.live.begin(), state.live.end(), [&](const Attempt &attempt) {
        return attempt.id == event.attempt;
    });
    if (found == state.live.end()) {
        return;
    }
    const Attempt attempt = *found;
    state.live.erase(found);
    if (event.outcome == AttemptOutcome::Answered) {
        cancelLive(state, actions);
        state.stage = Stage::Ended;
        state.ran = Ran::Yes;
        actions.push_back({.kind = ActionKind::Relay, .attempt = attempt.id});
        record(state, ClaimResolution::Answered, attempt.id, actions);
        return;
    }
    if (event.mayHaveRun) {
        raiseTo(state.ran, Ran::Unknown);
    }
    state.lastOutcome = event.outcome;
    attemptFailed(state, attempt, now, context, actions);
}

void hedgeDue(RequestState &state, BootTime now, const RequestContext &context, Actions &actions)
{
    const bool hasOneSentAttempt = state.live.size() == 1 && state.live.front().stage != AttemptStage::Queued;
    if (state.stage != Stage::Running || !isHedgeAllowed(state) || !hasOneSentAttempt || now >= state.facts.deadline
        || !withdraw(*context.hedges)) {
        return;
    }
    state.hedged = true;
    state.routingHedge = true;
    state.tried.push_back(state.live.front().upstream);
    actions.push_back({.kind = ActionKind::Route});
}

void admitted(RequestState &state, const RequestEvent &event, BootTime now, Actions &actions)
{
    for (Attempt &attempt : state.live) {
        if (attempt.id != event.attempt || attempt.stage != AttemptStage::Queued) {
            continue;
        }
        if (now >= state.facts.deadline) {
            refuse(state, {.cause = RefusalCause::DeadlinePassed, .status = 504}, actions);
            return;
        }
        attempt.stage = AttemptStage::Dispatched;
        actions.push_back({.kind = ActionKind::Dispatch, .attempt = attempt.id, .upstream = attempt.upstream});
        return;
    }
}

/**
 * Handles the caller's disconnection. A claimed request that may be running is not cancelled: its recorded answer is
 * returned to the caller's resend, while after a cancellation the resend would get "unknown".
 */
void callerDisconnected(RequestState &state, Actions &actions)
{
    const Ran ran = ranIfGivenUp(state);
    if (state.claimGranted && ran != Ran::No) {
        return;
    }
    cancelLive(state, actions);
    state.stage = Stage::Ended;
    state.ran = ran;
    record(state, ClaimResolution::Released, 0, actions);
}

/**
 * Releases a claim that was granted after the request had ended, because its caller disconnected or its deadline passed
 * in the meantime. Without this, every resend under the id would be answered "unknown" until the claim expires. Nothing
 * was dispatched under the claim, so it can be released.
 */
void releaseLateClaim(RequestState &state, const RequestEvent &event, Actions &actions)
{
    const bool isLateGrant = event.kind == EventKind::ClaimAnswered && event.claim == ClaimAnswer::Granted;
    if (!isLateGrant || state.claimGranted) {
        return;
    }
    state.claimGranted = true;
    record(state, ClaimResolution::Released, 0, actions);
}

} // namespace

bool isIdempotent(const std::string &method)
{
    static constexpr std::array<std::string_view, 5> Idempotent{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"};
    return std::find(Idempotent.begin(), Idempotent.end(), method) != Idempotent.end();
}

bool canRetry(const RequestFacts &facts)
{
    return facts.repeatable.value_or(isIdempotent(facts.method));
}

bool mayDivert(const RequestState &state)
{
    return !state.facts.keyed && state.diversions < MaxDiversions;
}

bool isRead(const std::string &method)
{
    return method == "GET" || method == "HEAD";
}

std::vector<RequestAction>
step(RequestState &state, const RequestEvent &event, BootTime now, const RequestContext &context)
{
    Actions actions;
    if (state.stage == Stage::Ended) {
        releaseLateClaim(state, event, actions);
        return actions;
    }
    switch (event.kind) {
    case EventKind::Accepted:
        start(state, context, actions);
        break;
    case EventKind::FoundQuarantined:
        raiseTo(state.ran, state.facts.claimed ? Ran::Unknown : Ran::No);
        state.lastOutcome = AttemptOutcome::Quarantined;
        refuseAttempt(state, actions);
        break;
    case EventKind::ClaimAnswered:
        claimAnswered(state, event.claim, now, context, actions);
        break;
    case EventKind::Routed:
        routed(state, event, now, context, actions);
        break;
    case EventKind::Woken:
        if (state.stage != Stage::Waiting) {
            break;
        }
        if (state.facts.claimed && !state.claimGranted) {
            state.stage = Stage::Claiming;
            actions.push_back({.kind = ActionKind::Claim});
            break;
        }
        route(state, actions);
        break;
    case EventKind::WaitRefused:
        if (state.stage == Stage::Waiting) {
            refuseAttempt(state, actions);
        }
        break;
    case EventKind::Admitted:
        admitted(state, event, now, actions);
        break;
    case EventKind::AttemptEnded:
        attemptEnded(state, event, now, context, actions);
        break;
    case EventKind::HedgeDue:
        hedgeDue(state, now, context, actions);
        break;
    case EventKind::DeadlinePassed:
        refuse(state, {.cause = RefusalCause::DeadlinePassed, .status = 504}, actions);
        break;
    case EventKind::CallerDisconnected:
        callerDisconnected(state, actions);
        break;
    }
    return actions;
}

} // namespace bergamotweir::agent
