#pragma once

#include "LoadSettings.h"
#include "Outcome.h"

#include "loop/EventLoop.h"
#include "net/HttpClient.h"

#include <pcg_random.hpp>

#include <deque>

namespace bergamotweir::load {

/**
 * Sends the load and records what became of each request.
 * Open loop: arrivals are drawn beforehand and don't wait for answers, and latency counts from the intended time, so
 * that waiting is not hidden. Owned by main.
 */
class Generator
{
public:
    /** @param ended called once, when the load is over and each request has ended */
    Generator(loop::EventLoop &loop, const LoadSettings &settings, std::function<void()> ended);
    ~Generator();
    Generator(const Generator &) = delete;
    Generator &operator=(const Generator &) = delete;

    void start();

    /** @return the id that the request carries in Test-Id */
    std::string testId(const Outcome &record) const;

    /** Requests in the order of their intended times. */
    std::deque<Outcome> outcomes;
    BootTime begun;

private:
    void onTimer();
    void armTimer();
    void sendOne(BootTime intended);
    void sendAgain(Outcome &record);
    net::HttpCall callFor(const Outcome &record);
    void checkEnd();
    double uniform();

    loop::EventLoop &loop;
    const LoadSettings &settings;
    std::function<void()> ended;
    net::HttpClient client;
    pcg64 random;
    int timer;
    BootTime nextArrival;
    BootTime end;
    std::size_t inProgress = 0;
    std::string prefix;
    bool over = false;
};

} // namespace bergamotweir::load
