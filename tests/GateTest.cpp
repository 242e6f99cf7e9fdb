#include "agent/Gate.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace bergamotweir::agent;
using namespace std::chrono_literals;

namespace {

constexpr BootTime Start{100s};

Gate warmGate(unsigned ceiling)
{
    Gate gate = makeGate(
        GateSettingsBuilder().ceiling(ceiling).minConnectionInterval(0us).queueLength(4).build().value(), Start);
    gate.limit.limit = ceiling;
    gate.limit.phase = LimitPhase::Steady;
    gate.limit.reference = 10ms;
    gate.serviceTime = 10ms;
    return gate;
}

/** An upstream that serves up to @p slots requests in parallel, each in @p alone; above that the latency rises. */
struct Server {
    unsigned slots = 12;
    std::chrono::milliseconds alone{10};

    std::chrono::nanoseconds latency(unsigned inProgress) const
    {
        return this->alone * std::max(inProgress, this->slots) / this->slots;
    }
};

/** Keeps the gate full until @p answers requests are answered. */
BootTime answerFull(Gate &gate, unsigned answers, const Server &server, BootTime now)
{
    for (unsigned answer = 0; answer < answers; answer++) {
        while (requestAdmission(gate, {answer + 1, now + 10s}, now) == Admission::Admitted) { }
        removeAllQueued(gate);
        const auto latency = server.latency(gate.inProgress);
        now += latency / gate.inProgress;
        finish(gate, WorkOutcome::Answered, latency, now);
    }
    return now;
}

} // namespace

TEST_CASE("gate settings are checked together")
{
    const Result<GateSettings> bad = GateSettingsBuilder().ceiling(0).connections(0).build();
    REQUIRE_FALSE(bad);
    REQUIRE(bad.error().size() == 2);
}

// Guards against overloading an upstream that has just started with the load of a warm one.
TEST_CASE("a new incarnation starts at one request and grows with its answers")
{
    Gate gate = warmGate(12);
    restart(gate, Start);
    REQUIRE(requestAdmission(gate, {1, Start + 1s}, Start) == Admission::Admitted);
    REQUIRE(requestAdmission(gate, {2, Start + 1s}, Start) == Admission::Queued);
    removeAllQueued(gate);
    finish(gate, WorkOutcome::Answered, 10ms, Start + 10ms);
    const BootTime later = answerFull(gate, 500, {}, Start + 10ms);
    REQUIRE(allowedConcurrency(gate.limit) == 12);
    REQUIRE(later - Start < 2s);
}

// Guards against a limit that stays low after the upstream is warm, and against one that overloads it while it is cold.
TEST_CASE("a cold upstream gets a load that it can serve, and its full limit once it is warm")
{
    Gate gate = warmGate(12);
    restart(gate, Start);
    BootTime now = Start;
    for (unsigned round = 0; round < 50; round++) {
        now = answerFull(gate, 16, {.slots = 3, .alone = 30ms}, now);
        REQUIRE(allowedConcurrency(gate.limit) <= 5);
    }
    now = answerFull(gate, 500, {}, now);
    REQUIRE(allowedConcurrency(gate.limit) == 12);
    REQUIRE(gate.limit.phase == LimitPhase::Steady);
}

// An upstream's cache is dropped without notice at constant load: its requests take several times as long, and it
// serves fewer in parallel.
TEST_CASE("a jump of the latency starts the limit from cold")
{
    Gate gate = warmGate(12);
    BootTime now = answerFull(gate, 100, {}, Start);
    REQUIRE(allowedConcurrency(gate.limit) == 12);
    now = answerFull(gate, 40, {.slots = 3, .alone = 30ms}, now);
    REQUIRE(gate.limit.phase == LimitPhase::Cold);
    REQUIRE(allowedConcurrency(gate.limit) <= 3);
    answerFull(gate, 400, {.slots = 3, .alone = 30ms}, now);
    REQUIRE(allowedConcurrency(gate.limit) <= 5);
}

// An upstream that lost half of its slots to a neighbour would stay at full load, and every answer would take twice as
// long.
TEST_CASE("the limit of a congested warm upstream is reduced")
{
    Gate gate = warmGate(12);
    const BootTime now = answerFull(gate, 100, {}, Start);
    answerFull(gate, 300, {.slots = 6}, now);
    REQUIRE(allowedConcurrency(gate.limit) <= 9);
}

// A key's only owner is slowed by neighbours but can serve as many requests in parallel as before. A limit cut for a
// latency that doesn't depend on its load would shed most of its requests.
TEST_CASE("an upstream that is as slow at low as at high concurrency gets its limit back")
{
    Gate gate = warmGate(12);
    const BootTime now = answerFull(gate, 100, {}, Start);
    answerFull(gate, 500, {.slots = 12, .alone = 100ms}, now);
    REQUIRE(allowedConcurrency(gate.limit) == 12);
}

TEST_CASE("a request that can't be served within its deadline is shed on arrival, and one that waited too long later")
{
    Gate gate = warmGate(1);
    REQUIRE(requestAdmission(gate, {1, Start + 1s}, Start) == Admission::Admitted);
    REQUIRE(requestAdmission(gate, {2, Start + 15ms}, Start) == Admission::Overloaded);
    REQUIRE(requestAdmission(gate, {3, Start + 45ms}, Start) == Admission::Queued);
    REQUIRE(requestAdmission(gate, {4, Start + 1s}, Start) == Admission::Queued);
    REQUIRE(nextDispatchAt(gate) == Start + 35ms);
    const GateDecisions late = processQueue(gate, Start + 36ms);
    REQUIRE(late.shed == std::vector<TicketId>{3});
    REQUIRE(late.admitted.empty());
    finish(gate, WorkOutcome::Answered, 40ms, Start + 40ms);
    REQUIRE(processQueue(gate, Start + 40ms).admitted == std::vector<TicketId>{4});
}

TEST_CASE("the queue is bounded, and a refusal at the table's limit is distinguished")
{
    Gate gate = warmGate(1);
    REQUIRE(requestAdmission(gate, {1, Start + 1s}, Start) == Admission::Admitted);
    for (TicketId ticket = 2; ticket < 6; ticket++) {
        REQUIRE(requestAdmission(gate, {ticket, Start + 1s}, Start) == Admission::Queued);
    }
    REQUIRE(requestAdmission(gate, {6, Start + 1s}, Start) == Admission::Overloaded);
    gate.settings.ceilingIsTableLimit = true;
    REQUIRE(requestAdmission(gate, {7, Start + 1s}, Start) == Admission::OverLimit);
    REQUIRE(cancelQueued(gate, 3));
    REQUIRE_FALSE(cancelQueued(gate, 3));
    REQUIRE(requestAdmission(gate, {8, Start + 1s}, Start) == Admission::Queued);
}

// Guards against a connection storm after an agent's restart: a hundred connections opened within a millisecond, each
// of which costs the upstream a millisecond.
TEST_CASE("new connections are spaced out, idle ones are used immediately")
{
    Gate gate = warmGate(12);
    gate.settings.minConnectionInterval = 4ms;
    REQUIRE(requestAdmission(gate, {1, Start + 1s}, Start) == Admission::Admitted);
    REQUIRE(requestAdmission(gate, {2, Start + 1s}, Start) == Admission::Queued);
    REQUIRE(nextDispatchAt(gate) == Start + 4ms);
    REQUIRE(processQueue(gate, Start + 3ms).admitted.empty());
    REQUIRE(processQueue(gate, Start + 4ms).admitted == std::vector<TicketId>{2});
    finish(gate, WorkOutcome::Answered, 1ms, Start + 5ms);
    REQUIRE(requestAdmission(gate, {3, Start + 1s}, Start + 5ms) == Admission::Admitted);
}

// An agent stops and hands over its measured limit, and the next one starts from it. Without this, callers would be
// refused for seconds after each planned restart although the upstream is warm. An upstream that lost its cache in
// between must not get its full load.
TEST_CASE("a gate restored after a restart starts at the measured limit, and detects an upstream that turned cold")
{
    agent::AdaptiveLimit before;
    agent::setCeiling(before, 12);
    REQUIRE(agent::learnedLimit(before).limit == 0);
    agent::AdaptiveLimit fresh = before;
    agent::restoreLimit(fresh, agent::learnedLimit(before), BootTime{});
    REQUIRE(agent::allowedConcurrency(fresh) == 1);

    const agent::LearnedLimit learned{.limit = 20, .reference = std::chrono::milliseconds(4)};
    agent::AdaptiveLimit warm = before;
    agent::restoreLimit(warm, learned, BootTime{});
    REQUIRE(agent::allowedConcurrency(warm) == 12);
    agent::AdaptiveLimit cold = warm;
    BootTime now{};
    for (int answer = 0; answer < 40; ++answer) {
        now += std::chrono::milliseconds(5);
        agent::recordAnswer(warm, std::chrono::milliseconds(4), 12, now);
        agent::recordAnswer(cold, std::chrono::milliseconds(16), 12, now);
    }
    REQUIRE(agent::allowedConcurrency(warm) == 12);
    REQUIRE(agent::allowedConcurrency(cold) == 3);
}

/*
 * An upstream has just started and announces that it is cold and supports 12 requests per second. With the load of a
 * warm one its slots would fill and it would exit; the next incarnation would be cold again.
 */
TEST_CASE("gate: a cold upstream gets its requests evenly spaced, with at most one above its rate in any second")
{
    Gate gate = makeGate(GateSettingsBuilder()
                             .ceiling(100)
                             .minConnectionInterval(0us)
                             .maxColdRate(12)
                             .maxWait(1000ms)
                             .adaptive(false)
                             .build()
                             .value(),
                         Start);
    setCold(gate, Start + 3s);
    std::vector<BootTime> sent;
    TicketId ticket = 0;
    for (BootTime now = Start; now < Start + 3s; now += 5ms) {
        if (requestAdmission(gate, {++ticket, now + 2s}, now) == Admission::Admitted) {
            sent.push_back(now);
        }
        sent.insert(sent.end(), processQueue(gate, now).admitted.size(), now);
    }
    for (const BootTime begin : sent) {
        const auto inSecond = std::count_if(sent.begin(), sent.end(), [&](BootTime at) {
            return begin <= at && at < begin + 1s;
        });
        REQUIRE(inSecond <= 13);
    }
    REQUIRE(sent.size() >= 34);
    const std::size_t waiting = gate.queue.size();
    REQUIRE(waiting > 0);
    REQUIRE(processQueue(gate, Start + 3s).admitted.size() == waiting);
}

TEST_CASE("gate: while an upstream is cold the queue is processed next when the next dispatch is due, not before")
{
    Gate gate = makeGate(
        GateSettingsBuilder().ceiling(9).minConnectionInterval(0us).maxColdRate(10).adaptive(false).build().value(),
        Start);
    setCold(gate, Start + 3s);
    REQUIRE(requestAdmission(gate, {1, Start + 2s}, Start) == Admission::Admitted);
    REQUIRE(requestAdmission(gate, {2, Start + 2s}, Start) == Admission::Queued);
    REQUIRE(nextDispatchAt(gate) == Start + 100ms);
    REQUIRE(processQueue(gate, Start + 99ms).admitted.empty());
    REQUIRE(processQueue(gate, Start + 100ms).admitted.size() == 1);
}
