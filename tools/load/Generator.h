#pragma once

#include "LoadSettings.h"
#include "Outcome.h"

#include "loop/EventLoop.h"
#include "net/HttpClient.h"

#include <pcg_random.hpp>

#include <deque>

namespace bergamotweir::load {

/**
 * Sends the load and records the outcome of each request.
 * In an open loop, arrival times don't depend on answers, and latency is measured from the intended time, so that
 * queueing delay is included (no coordinated omission). Owned by main.
 */
class Generator
{
public:
    /** @param onEnd called once, when the duration has passed and every request has ended */
    Generator(loop::EventLoop &loop, const LoadSettings &settings, std::function<void()> onEnd);
    ~Generator();
    Generator(const Generator &) = delete;
    Generator &operator=(const Generator &) = delete;

    void start();

    /** @return the value of the request's Test-Id header */
    std::string testId(const Outcome &record) const;

    /** All requests, ordered by intended time. */
    std::deque<Outcome> outcomes;
    BootTime startedAt;

private:
    void onTimer();
    void armTimer();
    void sendOne(BootTime intendedAt);
    void resend(Outcome &record);
    net::HttpCall callFor(const Outcome &record);
    void checkEnd();
    double uniform();

    loop::EventLoop &loop;
    const LoadSettings &settings;
    std::function<void()> onEnd;
    net::HttpClient client;
    pcg64 random;
    int timer;
    BootTime nextArrivalAt;
    BootTime endAt;
    std::size_t inProgress = 0;
    std::string prefix;
    bool isOver = false;
};

} // namespace bergamotweir::load
