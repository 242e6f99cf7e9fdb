#include "agent/Router.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace bergamotweir::agent;
using namespace std::chrono_literals;

namespace {

constexpr BootTime Start{100s};

std::vector<Candidate> fourEqual()
{
    return {{1, 1, false}, {2, 1, false}, {3, 1, false}, {4, 1, false}};
}

std::map<std::uint32_t, unsigned>
countChoices(ServiceRouting &routing, const std::vector<Candidate> &candidates, unsigned times, BootTime now)
{
    pcg32 random(7);
    std::map<std::uint32_t, unsigned> counts;
    for (unsigned choice = 0; choice < times; choice++) {
        counts[choose(routing, candidates, {}, random, now)]++;
    }
    return counts;
}

void answerAll(ServiceRouting &routing, unsigned rounds, std::chrono::milliseconds slow, BootTime now)
{
    for (unsigned round = 0; round < rounds; round++) {
        for (std::uint32_t upstream = 1; upstream <= 4; upstream++) {
            recordSent(routing, upstream, Start);
            recordAnswered(routing, upstream, upstream == 1 ? slow : 5ms, 0, now);
        }
    }
}

} // namespace

TEST_CASE("idle upstreams get load in proportion to their weights")
{
    ServiceRouting routing;
    const std::vector<Candidate> candidates{{1, 3, false}, {2, 1, false}};
    const auto counts = countChoices(routing, candidates, 10000, Start);
    REQUIRE(counts.at(1) > 7300);
    REQUIRE(counts.at(1) < 7700);
}

// Guards against a straggler that keeps its share of requests because its own load report still says that it is idle.
TEST_CASE("a straggler is ejected by its observed latency at any reported load, and readmitted by probes")
{
    ServiceRouting routing;
    answerAll(routing, 5, 5ms, Start);
    answerAll(routing, 5, 50ms, Start);
    REQUIRE(isEjected(routing, 1, Start));
    REQUIRE(countChoices(routing, fourEqual(), 1000, Start).count(1) == 0);
    const BootTime ejectionEndsAt = Start + 300ms;
    REQUIRE(countChoices(routing, fourEqual(), 1000, ejectionEndsAt).at(1) > 0);
    recordSent(routing, 1, Start);
    REQUIRE(countChoices(routing, fourEqual(), 1000, ejectionEndsAt).count(1) == 0);
    recordAnswered(routing, 1, 50ms, 0, ejectionEndsAt);
    REQUIRE(isEjected(routing, 1, ejectionEndsAt + 300ms));
    for (unsigned probe = 0; probe < 3; probe++) {
        recordSent(routing, 1, Start);
        recordAnswered(routing, 1, 5ms, 0, ejectionEndsAt + 500ms);
    }
    REQUIRE(routing.health.at(1).probesLeft == 0);
    REQUIRE(routing.health.at(1).ejections == 0);
}

// Guards against ejecting all upstreams of a service at the same time when all of them fail for a moment.
TEST_CASE("at most a third of the upstreams is ejected, or half at low load")
{
    for (const double load : {0.9, 0.1}) {
        ServiceRouting routing;
        for (std::uint32_t upstream = 1; upstream <= 4; upstream++) {
            recordSent(routing, upstream, Start);
            recordAnswered(routing, upstream, 5ms, load, Start);
        }
        for (std::uint32_t upstream = 1; upstream <= 4; upstream++) {
            for (unsigned failure = 0; failure < 5; failure++) {
                recordSent(routing, upstream, Start);
                recordFailed(routing, upstream, 1ms, Start);
            }
        }
        unsigned ejectedCount = 0;
        for (std::uint32_t upstream = 1; upstream <= 4; upstream++) {
            ejectedCount += isEjected(routing, upstream, Start) ? 1 : 0;
        }
        REQUIRE(ejectedCount == (load > 0.5 ? 1 : 2));
        REQUIRE(countChoices(routing, fourEqual(), 1000, Start).size() == 4 - ejectedCount);
    }
}

// Guards against a long tail at the start of a slow period: the straggler would get its share of requests until its
// first slow answer.
TEST_CASE("an upstream that doesn't answer gets no further request until it does")
{
    ServiceRouting routing;
    answerAll(routing, 5, 5ms, Start);
    recordSent(routing, 1, Start);
    REQUIRE(countChoices(routing, fourEqual(), 1000, Start + 10ms).count(1) == 1);
    REQUIRE(countChoices(routing, fourEqual(), 1000, Start + 20ms).count(1) == 0);
    recordAnswered(routing, 1, 20ms, 0, Start + 20ms);
    REQUIRE(countChoices(routing, fourEqual(), 1000, Start + 20ms).count(1) == 1);
}

TEST_CASE("an upstream that sheds is avoided for a short time and not ejected")
{
    ServiceRouting routing;
    answerAll(routing, 5, 5ms, Start);
    for (unsigned shed = 0; shed < 5; shed++) {
        recordSent(routing, 1, Start);
        recordShed(routing, 1, Start);
    }
    REQUIRE_FALSE(isEjected(routing, 1, Start));
    const auto counts = countChoices(routing, fourEqual(), 1000, Start);
    REQUIRE((counts.count(1) == 0 || counts.at(1) < 100));
    REQUIRE(countChoices(routing, fourEqual(), 1000, Start + 1s).at(1) > 150);
}

TEST_CASE("the local failure domain is preferred among upstreams of similar cost, unless it is busy")
{
    ServiceRouting routing;
    const std::vector<Candidate> candidates{{1, 1, true}, {2, 1, false}};
    REQUIRE(countChoices(routing, candidates, 1000, Start).at(1) > 700);
    for (std::uint32_t upstream = 1; upstream <= 2; upstream++) {
        recordSent(routing, upstream, Start);
        recordAnswered(routing, upstream, 5ms, 0.9, Start);
    }
    REQUIRE(countChoices(routing, candidates, 1000, Start).at(1) < 600);
}

TEST_CASE("a retry goes to another upstream, and to none when all were tried")
{
    ServiceRouting routing;
    pcg32 random(7);
    REQUIRE(choose(routing, {{1, 1, false}, {2, 1, false}}, {1}, random, Start) == 2);
    REQUIRE(choose(routing, {{1, 1, false}}, {1}, random, Start) == 0);
}

// Traffic between failure domains costs money. Without a preference, two of three requests would cross one needlessly.
TEST_CASE("an upstream of the local failure domain is chosen below its maximum load, the others above it")
{
    ServiceRouting routing;
    routing.maxLocalLoad = 0.75;
    pcg32 random(5);
    const std::vector<Candidate> candidates{{1, 1, true}, {2, 1, false}, {3, 1, false}};
    std::map<std::uint32_t, unsigned> counts;
    const auto choices = [&](double load) {
        counts.clear();
        for (unsigned number = 0; number < 300; ++number) {
            recordSent(routing, 1, Start);
            recordAnswered(routing, 1, 10ms, load, Start);
            ++counts[choose(routing, candidates, {}, random, Start)];
        }
    };
    choices(0.7);
    REQUIRE(counts[1] == 300);
    choices(0.9);
    REQUIRE(counts[1] < 200);
    REQUIRE(counts[2] + counts[3] > 100);
    REQUIRE(choose(routing, candidates, {1}, random, Start) != 1);
}
