#include "agent/RequestStep.h"
#include "agent/RetryBudget.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <numeric>

using namespace bergamotweir;
using namespace bergamotweir::agent;
using namespace std::chrono_literals;

namespace {

constexpr BootTime Start{100s};
constexpr std::uint32_t Near = 1;
constexpr std::uint32_t Far = 2;

/** The actual state of the attempts, which the request can't see, and the request's own state. */
struct World {
    RequestState state;
    RetryBudget retries;
    RetryBudget hedges;
    pcg32 random{7};
    BootTime now = Start;
    /** Attempts that were sent to an upstream and have neither ended nor been cancelled. */
    std::map<unsigned, bool> sentAttempts;
    /** Whether any part of the request may have run. */
    bool mayHaveRun = false;
    bool granted = false;
    bool callerDisconnected = false;
    unsigned answers = 0;
    unsigned records = 0;
    bool released = false;
    std::string history;

    bool hasEnded() const
    {
        return this->state.stage == Stage::Ended;
    }
};

void check(World &world, bool holds, const char *rule)
{
    if (!holds) {
        FAIL(rule << " broken after:" << world.history);
    }
}

void send(World &world, const RequestAction &action)
{
    const bool isOnlySend = world.sentAttempts.empty() && !world.mayHaveRun;
    check(world, isOnlySend || isIdempotent(world.state.facts.method), "a non-idempotent request is sent once");
    check(world, world.granted || !world.state.facts.claimed, "a claimed request waits for its claim");
    check(world, world.now < world.state.facts.deadline, "nothing is sent after the deadline");
    world.sentAttempts[action.attempt] = true;
}

void answer(World &world, const RequestAction &action)
{
    world.answers++;
    if (action.kind != ActionKind::Refuse) {
        return;
    }
    const bool earlierSend = world.state.facts.claimed && !world.granted
                             && action.refusal.cause != RefusalCause::ClaimConflict
                             && action.refusal.cause != RefusalCause::ClaimsFull;
    if (action.refusal.ran == Ran::No) {
        check(world, !world.mayHaveRun && !earlierSend, "Request-Ran: no is true");
    }
}

/** Applies those effects of an action that the checked rules need. */
void applyAction(World &world, const RequestAction &action)
{
    switch (action.kind) {
    case ActionKind::Dispatch:
    case ActionKind::Forward:
        send(world, action);
        break;
    case ActionKind::Cancel:
        // A cancelled attempt may have run, and may still run.
        world.mayHaveRun |= world.sentAttempts.erase(action.attempt) > 0;
        break;
    case ActionKind::Relay:
    case ActionKind::RelayRecorded:
    case ActionKind::Refuse:
        answer(world, action);
        break;
    case ActionKind::Record:
        world.records++;
        world.released = action.claimResolution == ClaimResolution::Released;
        check(world, !world.released || !world.mayHaveRun, "a claim is released only if nothing ran");
        break;
    default:
        break;
    }
}

void checkRules(World &world)
{
    check(world, world.answers <= 1, "one answer at most");
    check(world, world.records <= 1, "one outcome at most");
    if (!world.hasEnded()) {
        return;
    }
    check(world, world.answers == 1 || world.callerDisconnected, "an ended request was answered");
    check(world, world.sentAttempts.empty(), "no attempt outlives its request");
    check(world, !world.granted || world.records == 1, "a granted claim gets its outcome");
}

void applyEvent(World &world, const RequestEvent &event, const std::string &name)
{
    world.history += " " + name;
    if (event.kind == EventKind::CallerDisconnected) {
        world.callerDisconnected = true;
    }
    if (event.kind == EventKind::ClaimAnswered && event.claim == ClaimAnswer::Granted) {
        world.granted = true;
    }
    if (event.kind == EventKind::AttemptEnded && world.sentAttempts.erase(event.attempt) > 0) {
        world.mayHaveRun |= event.mayHaveRun;
    }
    const RequestContext context{&world.retries, &world.hedges, &world.random};
    std::vector<RequestAction> actions = step(world.state, event, world.now, context);
    // The actions are in order: a cancelled attempt is applied before the answer that follows it.
    for (const RequestAction &action : actions) {
        applyAction(world, action);
    }
    checkRules(world);
}

struct NamedEvent {
    RequestEvent event;
    std::string name;
};

void addOutcomes(const World &world, std::vector<NamedEvent> &events)
{
    for (const auto &entry : world.sentAttempts) {
        const unsigned attempt = entry.first;
        const std::string id = std::to_string(attempt);
        const auto add = [&](AttemptOutcome outcome, bool ran) {
            events.push_back(
                {{.kind = EventKind::AttemptEnded, .attempt = attempt, .outcome = outcome, .mayHaveRun = ran},
                 std::string(toText(outcome)) + (ran ? "!" : "") + id});
        };
        add(AttemptOutcome::Answered, true);
        add(AttemptOutcome::NotOwner, false);
        add(AttemptOutcome::Overloaded, false);
        add(AttemptOutcome::NotSent, false);
        add(AttemptOutcome::Crashed, true);
        add(AttemptOutcome::TruncatedAnswer, true);
    }
}

/** @return all events that are possible now, faults included */
std::vector<NamedEvent> possibleEvents(const World &world)
{
    std::vector<NamedEvent> events{{{.kind = EventKind::DeadlinePassed}, "deadline"},
                                   {{.kind = EventKind::CallerDisconnected}, "gone"}};
    if (world.state.stage == Stage::Claiming) {
        for (const auto claim : {ClaimAnswer::Granted,
                                 ClaimAnswer::InProgress,
                                 ClaimAnswer::Recorded,
                                 ClaimAnswer::Conflict,
                                 ClaimAnswer::Unknown,
                                 ClaimAnswer::Full,
                                 ClaimAnswer::Unavailable}) {
            events.push_back({{.kind = EventKind::ClaimAnswered, .claim = claim},
                              "claim" + std::to_string(static_cast<int>(claim))});
        }
    }
    if (world.state.stage == Stage::Waiting) {
        events.push_back({{.kind = EventKind::Woken}, "woken"});
        events.push_back({{.kind = EventKind::WaitRefused}, "wait-refused"});
    }
    if (world.state.stage == Stage::Running && (world.state.live.empty() || world.state.routingHedge)) {
        events.push_back({{.kind = EventKind::Routed}, "nowhere"});
        events.push_back({{.kind = EventKind::Routed, .upstream = Near, .local = true}, "near"});
        events.push_back({{.kind = EventKind::Routed, .upstream = Far}, "far"});
    }
    for (const Attempt &attempt : world.state.live) {
        if (attempt.stage == AttemptStage::Queued) {
            events.push_back({{.kind = EventKind::Admitted, .attempt = attempt.id}, "admitted"});
            events.push_back(
                {{.kind = EventKind::AttemptEnded, .attempt = attempt.id, .outcome = AttemptOutcome::Overloaded},
                 "shed"});
        }
    }
    if (!world.sentAttempts.empty() && !world.state.hedged) {
        events.push_back({{.kind = EventKind::HedgeDue}, "hedge"});
    }
    addOutcomes(world, events);
    return events;
}

/** Explores every sequence of events to a depth. @return the number of explored sequences */
unsigned explore(const World &world, unsigned depth)
{
    if (depth == 0 || world.hasEnded()) {
        World late = world;
        applyEvent(late, {.kind = EventKind::ClaimAnswered, .claim = ClaimAnswer::Unavailable}, "late-claim");
        applyEvent(
            late, {.kind = EventKind::AttemptEnded, .attempt = 1, .outcome = AttemptOutcome::Answered}, "late-answer");
        return 1;
    }
    unsigned orders = 0;
    for (const NamedEvent &next : possibleEvents(world)) {
        World branch = world;
        applyEvent(branch, next.event, next.name);
        orders += explore(branch, depth - 1);
    }
    return orders;
}

World fresh(const std::string &method, bool keyed, bool claimed, bool forwarded)
{
    World world;
    world.state.facts = {.service = "enrolments",
                         .method = method,
                         .keyed = keyed,
                         .hash = 5,
                         .claimed = claimed,
                         .forwarded = forwarded,
                         .deadline = Start + 1s};
    return world;
}

World accepted(const std::string &method, bool keyed, bool claimed, bool forwarded = false)
{
    World world = fresh(method, keyed, claimed, forwarded);
    applyEvent(world, {.kind = EventKind::Accepted}, "accepted");
    return world;
}

RequestEvent attemptEnded(unsigned attempt, AttemptOutcome outcome, bool ran)
{
    return {.kind = EventKind::AttemptEnded, .attempt = attempt, .outcome = outcome, .mayHaveRun = ran};
}

} // namespace

// Guards against a request that runs twice, gets no answer, or is reported as not run although it ran, because a fault
// occurred between two steps in an order that wasn't considered. Every sequence of events is explored to a fixed depth.
TEST_CASE("every fault at every step keeps the rules of a request")
{
    constexpr unsigned Depth = 9;
    unsigned orders = 0;
    orders += explore(accepted("POST", true, false), Depth);
    orders += explore(accepted("POST", true, true), Depth);
    orders += explore(accepted("POST", false, false), Depth);
    orders += explore(accepted("GET", false, false), Depth);
    orders += explore(accepted("PUT", true, false, true), Depth);
    REQUIRE(orders > 10000);
}

// Guards against a granted claim that is never released: the caller disconnects while control decides, and the id can't
// be used again.
TEST_CASE("a claim granted to a request that has ended is released")
{
    World world = accepted("POST", true, true);
    applyEvent(world, {.kind = EventKind::CallerDisconnected}, "gone");
    applyEvent(world, {.kind = EventKind::ClaimAnswered, .claim = ClaimAnswer::Granted}, "granted");
    REQUIRE(world.records == 1);
    REQUIRE(world.released);
}

// Guards against refusals during a planned move, when the previous owner has stopped and the next one isn't known yet.
TEST_CASE("a request waits through a move as long as its deadline allows")
{
    World world = accepted("POST", true, false);
    applyEvent(world, {.kind = EventKind::Routed, .upstream = Far}, "far");
    for (unsigned attempt = 1; attempt <= 20; attempt++) {
        applyEvent(world, attemptEnded(attempt, AttemptOutcome::NotOwner, false), "not-owner");
        REQUIRE(world.state.stage == Stage::Waiting);
        world.now += 25ms;
        applyEvent(world, {.kind = EventKind::Woken}, "woken");
        applyEvent(world, {.kind = EventKind::Routed, .upstream = Far}, "far");
    }
    applyEvent(world, attemptEnded(21, AttemptOutcome::Answered, true), "answered");
    REQUIRE(world.answers == 1);
    REQUIRE(world.state.ran == Ran::Yes);
}

// Guards against a burst of refusals after the loss of a VM, although its keys have a new owner half a second later:
// three quick attempts at the lost agent would use up the request's tries.
TEST_CASE("a request waits for the next owner of its key when the current one can't be reached")
{
    World world = accepted("POST", true, false);
    for (unsigned attempt = 1; attempt <= 20; attempt++) {
        applyEvent(world, {.kind = EventKind::Routed, .upstream = Far}, "far");
        applyEvent(world, attemptEnded(attempt, AttemptOutcome::NotSent, false), "not-sent");
        REQUIRE(world.state.stage == Stage::Waiting);
        world.now += 25ms;
        applyEvent(world, {.kind = EventKind::Woken}, "woken");
    }
    REQUIRE(world.retries.tokens == 10);
}

/*
 * A move of keys to another upstream takes a release, a commit and a grant: a quarter of a second. Requests refused
 * after the shorter time that they may wait for a slot would be retried too late to meet their target.
 */
TEST_CASE("a request waits for half of its target for a key that is being moved, and no longer")
{
    const auto refusedAfter = [](AttemptOutcome outcome) {
        World world = fresh("GET", true, false, false);
        world.state.facts.queuePriority =
            queuePriorityOf({.targetLatency = 500ms, .timeout = 1200ms, .priority = 1}, Start);
        applyEvent(world, {.kind = EventKind::Accepted}, "accepted");
        for (unsigned attempt = 1; !world.hasEnded(); ++attempt) {
            applyEvent(world, {.kind = EventKind::Routed, .upstream = Far}, "far");
            applyEvent(world, attemptEnded(attempt, outcome, false), "ended");
            world.now += 10ms;
            applyEvent(world, {.kind = EventKind::Woken}, "woken");
        }
        return world.now - Start;
    };
    CHECK(refusedAfter(AttemptOutcome::NotOwner) > 200ms);
    CHECK(refusedAfter(AttemptOutcome::NotOwner) <= 260ms);
    CHECK(refusedAfter(AttemptOutcome::NotSent) <= 130ms);
}

TEST_CASE("a request of an unkeyed service tries another upstream at once when one no longer serves")
{
    World world = accepted("POST", false, false);
    applyEvent(world, {.kind = EventKind::Routed, .upstream = Far}, "far");
    applyEvent(world, attemptEnded(1, AttemptOutcome::NotOwner, false), "not-owner");
    REQUIRE(world.state.stage == Stage::Running);
    REQUIRE(world.state.tried == std::vector<std::uint32_t>{Far});
}

TEST_CASE("a request that can't wait any longer is refused at once, as not run and with a retry-after")
{
    World world = accepted("POST", true, false);
    world.now = Start + 990ms;
    const RequestContext context{&world.retries, &world.hedges, &world.random};
    const auto actions = step(world.state, {.kind = EventKind::Routed}, world.now, context);
    REQUIRE(actions.size() == 1);
    REQUIRE(actions[0].refusal.status == 503);
    REQUIRE(actions[0].refusal.ran == Ran::No);
    REQUIRE(actions[0].refusal.retryAfter);
}

// Guards against a request that runs after its caller was told that it did not: the agent is frozen while the request
// waits at the gate.
TEST_CASE("nothing is dispatched after its deadline")
{
    World world = accepted("POST", true, false);
    applyEvent(world, {.kind = EventKind::Routed, .upstream = Near, .local = true}, "near");
    world.now = Start + 1s;
    applyEvent(world, {.kind = EventKind::Admitted, .attempt = 1}, "admitted");
    REQUIRE(world.hasEnded());
    REQUIRE(world.state.ran == Ran::No);
}

// Guards against a retry storm: a slow service gets several times its load because each agent sends failed reads again.
TEST_CASE("retries and hedges end when their budgets are used up")
{
    World world = accepted("GET", false, false);
    world.retries.tokens = 1;
    world.hedges.tokens = 0;
    applyEvent(world, {.kind = EventKind::Routed, .upstream = Far}, "far");
    applyEvent(world, {.kind = EventKind::HedgeDue}, "hedge");
    REQUIRE_FALSE(world.state.hedged);
    applyEvent(world, attemptEnded(1, AttemptOutcome::ConnectionLost, true), "broken");
    REQUIRE_FALSE(world.hasEnded());
    applyEvent(world, {.kind = EventKind::Routed, .upstream = Near, .local = true}, "near");
    applyEvent(world, attemptEnded(2, AttemptOutcome::Overloaded, false), "shed");
    REQUIRE(world.hasEnded());
    REQUIRE(world.state.ran == Ran::Unknown);
}

/*
 * An upstream answers 421 for every key, and the same requests are sent to it repeatedly. If these sends were not
 * counted as second sends, they would exceed the retry budget of all agents.
 */
TEST_CASE("a request whose key the upstream doesn't hold is sent again only within the retry budget")
{
    World world = accepted("GET", true, false);
    world.retries.tokens = 1;
    applyEvent(world, {.kind = EventKind::Routed, .upstream = Far}, "far");
    applyEvent(world, attemptEnded(1, AttemptOutcome::KeyNotHeld, false), "disowned");
    REQUIRE(world.state.stage == Stage::Waiting);
    REQUIRE(world.retries.tokens == 0);
    applyEvent(world, {.kind = EventKind::Woken}, "woken");
    applyEvent(world, {.kind = EventKind::Routed, .upstream = Far}, "far");
    applyEvent(world, attemptEnded(2, AttemptOutcome::KeyNotHeld, false), "disowned");
    REQUIRE(world.hasEnded());
    REQUIRE(world.state.ran == Ran::No);
}

/*
 * Fifteen agents forward each request to another one, and the upstream doesn't hold any of the keys. Second sends would
 * exceed the agents' ratio if each request were counted in two budgets: at the agent that received it and at the one to
 * which it was forwarded. In any window all agents together must stay within the ratio plus their saved tokens.
 */
TEST_CASE("agents that share no state stay within the common budget of second sends")
{
    constexpr std::size_t Agents = 15;
    constexpr std::size_t PerSecond = 270;
    constexpr std::size_t Seconds = 30;
    constexpr std::size_t Window = 10;
    constexpr double Ratio = 0.1;
    constexpr double SavedUp = 3;
    std::vector<RetryBudget> budgets(Agents, RetryBudget{.ratio = Ratio, .maxTokens = SavedUp, .tokens = SavedUp});
    std::vector<RetryBudget> hedges(Agents);
    pcg32 random{11};
    std::vector<std::size_t> repeats(Seconds);
    for (std::size_t number = 0; number < PerSecond * Seconds; ++number) {
        const std::size_t origin = random(Agents);
        const RequestContext forwardedContext{&budgets[(origin + 1) % Agents], &hedges[origin], &random};
        const RequestContext originContext{&budgets[origin], &hedges[origin], &random};
        World forwarded = fresh("GET", true, false, true);
        step(forwarded.state, {.kind = EventKind::Accepted}, forwarded.now, forwardedContext);
        World world = fresh("GET", true, false, false);
        step(world.state, {.kind = EventKind::Accepted}, world.now, originContext);
        for (unsigned attempt = 1; !world.hasEnded(); ++attempt) {
            step(world.state, {.kind = EventKind::Routed, .upstream = Far}, world.now, originContext);
            repeats[number / PerSecond] += attempt > 1 ? 1 : 0;
            step(world.state, attemptEnded(attempt, AttemptOutcome::KeyNotHeld, false), world.now, originContext);
            world.now += 20ms;
            step(world.state, {.kind = EventKind::Woken}, world.now, originContext);
        }
    }
    for (std::size_t first = 0; first + Window <= Seconds; ++first) {
        const auto begin = repeats.begin() + static_cast<std::ptrdiff_t>(first);
        const std::size_t sent = std::accumulate(begin, begin + Window, std::size_t{0});
        CHECK(static_cast<double>(sent) <= Ratio * PerSecond * Window + SavedUp * Agents);
    }
}

TEST_CASE("the first answer of a hedged read wins and the loser is cancelled")
{
    World world = accepted("GET", false, false);
    applyEvent(world, {.kind = EventKind::Routed, .upstream = Far}, "far");
    applyEvent(world, {.kind = EventKind::HedgeDue}, "hedge");
    REQUIRE(world.state.hedged);
    applyEvent(world, {.kind = EventKind::Routed, .upstream = Near, .local = true}, "near");
    applyEvent(world, {.kind = EventKind::Admitted, .attempt = 2}, "admitted");
    applyEvent(world, attemptEnded(2, AttemptOutcome::Answered, true), "answered");
    REQUIRE(world.answers == 1);
    REQUIRE(world.sentAttempts.empty());
    REQUIRE(world.mayHaveRun);
}

// Guards against answering "unknown" to the resend of a request that ran: the first send would be cancelled when its
// caller disconnects, and its answer lost.
TEST_CASE("a claimed request that may be running continues after its caller disconnects")
{
    World world = accepted("POST", true, true);
    applyEvent(world, {.kind = EventKind::ClaimAnswered, .claim = ClaimAnswer::Granted}, "granted");
    applyEvent(world, {.kind = EventKind::Routed, .upstream = Far}, "far");
    applyEvent(world, {.kind = EventKind::CallerDisconnected}, "gone");
    REQUIRE(world.sentAttempts.size() == 1);
    applyEvent(world, attemptEnded(1, AttemptOutcome::Answered, true), "answered");
    REQUIRE(world.records == 1);
    REQUIRE_FALSE(world.released);
}

// Guards against retries spent on slow upstreams: a diverted request was not sent to an upstream, so it neither counts
// as a try nor takes from the budget.
TEST_CASE("a request that slow or rate-limited upstreams divert is routed again, twice at most, without counting tries")
{
    const AttemptOutcome outcome = GENERATE(AttemptOutcome::Slow, AttemptOutcome::RateLimited);
    RequestState state;
    state.facts = {.service = "bookings", .method = "POST", .deadline = Start + 1s, .maxTries = 1};
    RetryBudget retries;
    RetryBudget hedges;
    pcg32 random{7};
    const RequestContext context{&retries, &hedges, &random};
    REQUIRE(step(state, {.kind = EventKind::Accepted}, Start, context).front().kind == ActionKind::Route);
    const double tokens = retries.tokens;
    for (std::uint32_t upstream = 1; upstream <= MaxDiversions; ++upstream) {
        CHECK(mayDivert(state));
        const auto sent = step(state, {.kind = EventKind::Routed, .upstream = upstream}, Start, context);
        REQUIRE(sent.front().kind == ActionKind::Forward);
        const auto next = step(state,
                               {.kind = EventKind::AttemptEnded, .attempt = sent.front().attempt, .outcome = outcome},
                               Start,
                               context);
        REQUIRE(next.front().kind == ActionKind::Route);
    }
    CHECK_FALSE(mayDivert(state));
    CHECK(state.tries == 0);
    CHECK(state.tried.size() == MaxDiversions);
    CHECK(retries.tokens == tokens);
    state.facts.keyed = true;
    state.diversions = 0;
    CHECK_FALSE(mayDivert(state));
}

// Guards against a key's request that asks its owner again although the gate knows that no token comes in time.
TEST_CASE("a keyed request that its owner's rate limit refuses is refused at once")
{
    RequestState state;
    state.facts = {.service = "seats", .method = "GET", .keyed = true, .deadline = Start + 1s};
    RetryBudget retries;
    RetryBudget hedges;
    pcg32 random{7};
    const RequestContext context{&retries, &hedges, &random};
    step(state, {.kind = EventKind::Accepted}, Start, context);
    const auto sent = step(state, {.kind = EventKind::Routed, .upstream = 1}, Start, context);
    const auto ended =
        step(state,
             {.kind = EventKind::AttemptEnded, .attempt = sent.front().attempt, .outcome = AttemptOutcome::RateLimited},
             Start,
             context);
    REQUIRE(ended.front().kind == ActionKind::Refuse);
    CHECK(ended.front().refusal.status == 503);
    CHECK(ended.front().refusal.ran == Ran::No);
    CHECK(ended.front().refusal.retryAfter);
}
