#include "loop/EventLoop.h"

#include <catch2/catch.hpp>

#include <csignal>
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
