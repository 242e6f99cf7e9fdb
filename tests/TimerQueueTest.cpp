#include "loop/TimerQueue.h"

#include <catch2/catch.hpp>

#include <poll.h>

using namespace bergamotweir;
using namespace std::chrono_literals;

/** Runs the queue until the text has the given length. */
static void runUntil(loop::TimerQueue &queue, const std::string &text, std::size_t length)
{
    while (text.size() < length) {
        pollfd ready{queue.descriptor(), POLLIN, 0};
        constexpr int LimitMilliseconds = 10000;
        REQUIRE(poll(&ready, 1, LimitMilliseconds) == 1);
        queue.run();
    }
}

TEST_CASE("timers fire in the order of their due times, regardless of the order in which they were added")
{
    loop::TimerQueue queue;
    std::string order;
    for (const int due : {3, 1, 2, 0}) {
        queue.add(due * 2ms, 0ns, [&order, due] {
            order += std::to_string(due);
        });
    }
    queue.cancel(queue.add(1ms, 0ns, [&] {
        order += '!';
    }));
    runUntil(queue, order, 4);
    CHECK(order == "0123");
}

TEST_CASE("a repeated timer may cancel itself, and a timer added by a task fires in a later run")
{
    loop::TimerQueue queue;
    std::string order;
    loop::TimerId repeated = 0;
    repeated = queue.add(1ms, 1ms, [&] {
        order += 'r';
        if (order.size() == 3) {
            queue.cancel(repeated);
            queue.add(-1s, 0ns, [&] {
                order += 'e';
            });
        }
        CHECK(order.back() == 'r');
    });
    runUntil(queue, order, 4);
    CHECK(order == "rrre");
}

// Guards against a burst of hundreds of heartbeats or health checks after a VM was suspended for a minute, which would
// follow if each missed repetition were run later.
TEST_CASE("missed repetitions of a timer are skipped")
{
    loop::TimerQueue queue;
    int fired = 0;
    queue.add(1ns, 1ns, [&] {
        ++fired;
    });
    pollfd ready{queue.descriptor(), POLLIN, 0};
    constexpr int LimitMilliseconds = 10000;
    REQUIRE(poll(&ready, 1, LimitMilliseconds) == 1);
    const BootTime until = BootClock::now() + 1ms;
    while (BootClock::now() < until) {
        // A million repetitions are due by now.
    }
    queue.run();
    CHECK(fired == 1);
}
