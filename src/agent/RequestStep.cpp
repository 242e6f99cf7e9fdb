#include "agent/RequestStep.h"

#include "agent/RetryBudget.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <string_view>

namespace bergamotweir::agent {

namespace {

using Actions = std::vector<RequestAction>;

void raise(Ran &ran, Ran other)
{
    ran = std::max(ran, other);
}

/** @return what can be said if the request were given up now: a live attempt that was handed on may run */
Ran ranIfGivenUp(const RequestState &state)
{
    Ran ran = state.ran;
    for (const Attempt &attempt : state.live) {
        if (attempt.stage != AttemptStage::Queued) {
            raise(ran, Ran::Unknown);
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
    case AttemptOutcome::NotSent:
        return 503;
    default:
        return 502;
    }
}

bool helpsToComeBack(int status)
{
    return status == 429 || status == 503;
}

/** Ends the request with a problem; the answer goes out before the claim's outcome. */
void refuse(RequestState &state, RefusalDetails refusal, Actions &actions)
{
    refusal.ran = ranIfGivenUp(state);
    refusal.retryAfter = helpsToComeBack(refusal.status);
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

/** Holds the request for a jittered pause: requests that were refused together don't come back together. */
void wait(RequestState &state, BootTime now, const RequestContext &context, Actions &actions)
{
    const auto spread = static_cast<std::uint32_t>((MaxPause - MinPause).count());
    const std::chrono::milliseconds pause = MinPause + std::chrono::milliseconds((*context.random)(spread));
    const bool ownerChanges = state.facts.keyed && state.lastOutcome == AttemptOutcome::NotOwner;
    const BootTime latest =
        ownerChanges ? state.facts.queuePriority.ownerWaitDeadline : state.facts.queuePriority.dispatchDeadline;
    if (now + pause >= std::min(state.facts.deadline, latest)) {
        refuseAttempt(state, actions);
        return;
    }
    state.stage = Stage::Waiting;
    actions.push_back({.kind = ActionKind::Wait, .delay = pause});
}

void start(RequestState &state, const RequestContext &context, Actions &actions)
{
    // Guards against a budget that one request pays into twice. It shows as more second sends than the ratio allows:
    // the agent that a request is forwarded to never sends it again, and would save up for its own callers' requests.
    if (!state.facts.forwarded) {
        deposit(*context.retries);
        deposit(*context.hedges);
    }
    if (!state.facts.claimed) {
        route(state, actions);
        return;
    }
    // An earlier send under the same id may have run; only a granted claim says that none did.
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

/** Only reads of unkeyed services, where another upstream can answer as well, and once. */
bool mayHedge(const RequestState &state)
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
            // The agent that sent it waits; it knows of newer routes first.
            state.lastOutcome = AttemptOutcome::NotOwner;
            refuseAttempt(state, actions);
            return;
        }
        // Nothing to route to now: a move, a loss being repaired, or every upstream tried. Not a try of its own.
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
    if (mayHedge(state)) {
        actions.push_back({.kind = ActionKind::ArmHedge});
    }
}

/**
 * @return whether the owner is being replaced or is unreachable, which is temporary
 * Such an end isn't counted as a try: otherwise three quick tries at a lost owner would exhaust them before the key has
 * its next owner.
 */
bool isRouteEnd(const RequestState &state)
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
    const bool maySendAgain = state.ran == Ran::No || canRetry(state.facts);
    if (state.facts.forwarded || !maySendAgain || state.lastOutcome == AttemptOutcome::Quarantined) {
        refuseAttempt(state, actions);
        return;
    }
    if (isRouteEnd(state)) {
        const bool askAnother = !state.facts.keyed && state.tries < state.facts.maxTries;
        if (askAnother) {
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
    // The only owner gets a pause before it is asked again; another upstream is asked at once.
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
        raise(state.ran, Ran::Unknown);
    }
    state.lastOutcome = event.outcome;
    attemptFailed(state, attempt, now, context, actions);
}

void hedgeDue(RequestState &state, BootTime now, const RequestContext &context, Actions &actions)
{
    const bool oneHandedOn = state.live.size() == 1 && state.live.front().stage != AttemptStage::Queued;
    if (state.stage != Stage::Running || !mayHedge(state) || !oneHandedOn || now >= state.facts.deadline
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
 * A claimed request that may be running goes on without its caller: the recorded answer is what the caller's resend
 * gets, where a cancelled one would leave it "unknown".
 */
void callerGone(RequestState &state, Actions &actions)
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
 * Guard against an id that nobody can use again. It shows when a caller goes away or the deadline passes while the
 * claim is asked for, and the claim is granted after that: every resend would be told "unknown" until it expires.
 * Nothing was dispatched under it, so it is given back.
 */
void giveBackLateClaim(RequestState &state, const RequestEvent &event, Actions &actions)
{
    const bool late = event.kind == EventKind::ClaimAnswered && event.claim == ClaimAnswer::Granted;
    if (!late || state.claimGranted) {
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

bool isRead(const std::string &method)
{
    return method == "GET" || method == "HEAD";
}

std::vector<RequestAction>
step(RequestState &state, const RequestEvent &event, BootTime now, const RequestContext &context)
{
    Actions actions;
    if (state.stage == Stage::Ended) {
        giveBackLateClaim(state, event, actions);
        return actions;
    }
    switch (event.kind) {
    case EventKind::Accepted:
        start(state, context, actions);
        break;
    case EventKind::FoundQuarantined:
        raise(state.ran, state.facts.claimed ? Ran::Unknown : Ran::No);
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
        callerGone(state, actions);
        break;
    }
    return actions;
}

} // namespace bergamotweir::agent
