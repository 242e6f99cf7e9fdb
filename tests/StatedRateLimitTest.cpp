#include "agent/StatedRateLimit.h"

#include "agent/Gate.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <vector>

using namespace bergamotweir;
using namespace bergamotweir::agent;
using namespace std::chrono_literals;

namespace {

constexpr BootTime Start{100s};
constexpr auto Window = 4s;

using Seconds = std::chrono::duration<double>;

StatedRateLimit stated(double perSecond)
{
    StatedRateLimit limit;
    recordStatement(limit, perSecond, Start, Start);
    return limit;
}

Gate limitedGate(double perSecond, std::chrono::milliseconds burstTime = 500ms)
{
    Gate gate =
        makeGate(GateSettingsBuilder().ceiling(12).minConnectionInterval(0us).adaptive(false).build().value(), Start);
    gate.serviceTime = 100ms;
    gate.rateLimit.burstTime = burstTime;
    recordStatement(gate.rateLimit, perSecond, Start, Start);
    return gate;
}

/** Results of a gate under a constant random load. */
struct Served {
    double share = 0;
    Seconds meanWait{0};
    unsigned maxInWindow = 0;
};

/**
 * Plays a minute of randomly arriving requests of 100 ms at a gate whose upstream has enough slots, so that the stated
 * rate limit alone decides.
 * @param load arrivals, as a multiple of the limit
 */
Served play(double perSecond, std::chrono::milliseconds burstTime, double load)
{
    constexpr auto Length = 60s;
    Gate gate = limitedGate(perSecond, burstTime);
    pcg32 random(7);
    std::vector<BootTime> sent;
    std::vector<BootTime> arrivedAt{Start};
    std::deque<BootTime> ends;
    Seconds waited{0};
    const auto dispatch = [&](TicketId ticket, BootTime now) {
        sent.push_back(now);
        ends.push_back(now + 100ms);
        waited += now - arrivedAt[ticket];
    };
    BootTime next = Start;
    for (BootTime now = Start; now < Start + Length; now += 1ms) {
        for (; !ends.empty() && ends.front() <= now; ends.pop_front()) {
            finish(gate, WorkOutcome::Answered, 100ms, now);
        }
        for (; next <= now; next += std::chrono::duration_cast<BootClock::duration>(
                                Seconds(-std::log(1 - random() / 4294967296.0) / (load * perSecond)))) {
            const TicketId ticket = arrivedAt.size();
            arrivedAt.push_back(now);
            const QueuePriority priority{.targetDeadline = now + 600ms, .dispatchDeadline = now + 200ms};
            if (requestAdmission(gate, {ticket, now + 2s, priority}, now) == Admission::Admitted) {
                dispatch(ticket, now);
            }
        }
        for (const TicketId ticket : processQueue(gate, now).admitted) {
            dispatch(ticket, now);
        }
    }
    Served served{.share = static_cast<double>(sent.size()) / static_cast<double>(arrivedAt.size() - 1),
                  .meanWait = waited / static_cast<double>(sent.size())};
    for (auto from = sent.begin(); from != sent.end(); ++from) {
        const auto to = std::lower_bound(from, sent.end(), *from + Window);
        served.maxInWindow = std::max(served.maxInWindow, static_cast<unsigned>(to - from));
    }
    return served;
}

} // namespace

TEST_CASE("stated rate limit: no window exceeds the rate by more than the bucket, at any load")
{
    for (const double perSecond : {0.4, 3.0, 12.7, 80.0}) {
        for (const double load : {0.9, 1.5, 10.0}) {
            CAPTURE(perSecond, load);
            const double rate = std::max(perSecond, MinStatedRate);
            const double allowed = rate * Seconds(Window).count() + std::max(1.0, rate * 0.5);
            CHECK(play(perSecond, 500ms, load).maxInWindow <= std::ceil(allowed));
        }
    }
}

// Guards against callers that wait for a token although the upstream had taken fewer requests than it allows before.
TEST_CASE("stated rate limit: with a bucket of half a second more requests are served, and sooner, than evenly spaced")
{
    for (const double load : {0.8, 1.0, 2.0}) {
        CAPTURE(load);
        const Served spaced = play(12, 0ms, load);
        const Served bucket = play(12, 500ms, load);
        WARN("load " << load << ": served " << spaced.share << " evenly spaced, " << bucket.share
                     << " with a bucket; mean wait " << spaced.meanWait.count() * 1000 << " and "
                     << bucket.meanWait.count() * 1000 << " ms");
        CHECK(bucket.share >= spaced.share);
        CHECK((load > 1 || bucket.meanWait < spaced.meanWait));
    }
}

// Guards against a limit that ends because of an answer that the upstream made before it stated the limit.
TEST_CASE("stated rate limit: only the answer to a request sent after the last statement ends the limit")
{
    StatedRateLimit limit = stated(10);
    CHECK_FALSE(recordStatement(limit, std::nullopt, Start - 1ms, Start + 5ms));
    CHECK(limit.perSecond == 10);
    CHECK(recordStatement(limit, 8.0, Start - 1ms, Start + 10ms));
    CHECK_FALSE(recordStatement(limit, std::nullopt, Start + 6ms, Start + 12ms));
    CHECK(recordStatement(limit, std::nullopt, Start + 13ms, Start + 20ms));
    CHECK(nextSendAt(limit, 100) == BootTime());
}

// Guards against an upstream that is never asked again, since only an answer can end its limit.
TEST_CASE("stated rate limit: an upstream that allows nothing is still asked every two seconds")
{
    StatedRateLimit limit = stated(0);
    takeToken(limit, Start);
    CHECK(nextSendAt(limit, 0) == Start + 2s);
}

TEST_CASE("stated rate limit: a lower rate takes effect on the tokens at hand, and unsent requests return theirs")
{
    StatedRateLimit limit = stated(100);
    recordStatement(limit, 2.0, Start + 1s, Start + 2s);
    takeToken(limit, Start + 2s);
    CHECK(nextSendAt(limit, 0) == Start + 2500ms);
    returnToken(limit, Start + 2s);
    CHECK(nextSendAt(limit, 0) == Start + 2s);
}

// Guards against requests that wait for a token until their deadline although it can be known that none comes in time.
TEST_CASE("gate: a request that the stated rate limit doesn't let through in time is refused at once")
{
    Gate gate = limitedGate(10);
    const QueuePriority priority{.dispatchDeadline = Start + 150ms};
    REQUIRE(requestAdmission(gate, {1, Start + 2s, priority}, Start) == Admission::Admitted);
    REQUIRE(requestAdmission(gate, {2, Start + 2s, priority}, Start) == Admission::Queued);
    REQUIRE(requestAdmission(gate, {3, Start + 2s, priority}, Start) == Admission::RateLimited);
    REQUIRE(nextDispatchAt(gate) == Start + 100ms);
    REQUIRE(processQueue(gate, Start + 99ms).admitted.empty());
    REQUIRE(processQueue(gate, Start + 100ms).admitted == std::vector<TicketId>{2});
    restart(gate, Start + 100ms);
    REQUIRE(requestAdmission(gate, {4, Start + 2s, {}}, Start + 101ms) == Admission::Admitted);
}

TEST_CASE("stated rate limit: the load compares with that of other gates")
{
    StatedRateLimit limit;
    CHECK(rateLoad(limit, 5, Start) == 0);
    limit = stated(10);
    CHECK(rateLoad(limit, 0, Start + 1s) == 0);
    takeToken(limit, Start);
    CHECK(rateLoad(limit, 0, Start) == 1);
    CHECK(rateLoad(limit, 5, Start) == 2);
}
