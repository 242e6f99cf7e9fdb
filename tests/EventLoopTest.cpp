#include "loop/EventLoop.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <ctime>
#include <unistd.h>

#include <string>
#include <thread>

using namespace bergamotweir;
using namespace std::chrono_literals;

TEST_CASE("the loop runs posted tasks, timers, descriptors and signals on its own thread")
{
    auto loop = loop::EventLoop::create().value();
    std::string order;
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    loop->watch(ends[0], {.readable = true}, [&](loop::Readiness ready) {
        char byte = 0;
        REQUIRE(ready.readable);
        REQUIRE(read(ends[0], &byte, 1) == 1);
        order += byte;
        loop->unwatch(ends[0]);
        raise(SIGUSR1);
    });
    loop->onSignal(SIGUSR1, [&] {
        order += 's';
        loop->stop();
    });
    loop->after(1ms, [&] {
        order += 't';
        REQUIRE(write(ends[1], "d", 1) == 1);
    });
    const loop::TimerId never = loop->after(2ms, [&] {
        order += '!';
    });
    loop->cancel(never);
    std::thread other([&] {
        loop->post([&] {
            order += 'p';
        });
    });
    other.join();
    loop->run();
    close(ends[0]);
    close(ends[1]);
    REQUIRE(order.size() == 4);
    REQUIRE(order.substr(order.find('t')).find("tds") != std::string::npos);
}

// Guards against an idle process that uses a tenth of a core: if the wait for a timer is rounded down to whole
// milliseconds, the loop polls without waiting during the rest of the last millisecond.
TEST_CASE("a loop that waits for timers does not spin")
{
    const auto cpuTime = [] {
        timespec spent{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
        return std::chrono::seconds(spent.tv_sec) + std::chrono::nanoseconds(spent.tv_nsec);
    };
    auto loop = loop::EventLoop::create().value();
    unsigned fired = 0;
    loop->every(2500us, [&] {
        if (++fired == 100) {
            loop->stop();
        }
    });
    const auto before = cpuTime();
    loop->run();
    REQUIRE(fired == 100);
    REQUIRE(cpuTime() - before < 20ms);
}
