#pragma once

#include "base/BootClock.h"
#include "loop/EventLoop.h"

#include <map>
#include <optional>
#include <set>

namespace bergamotweir::loop {

/**
 * The timers of one EventLoop, behind one descriptor that becomes readable when the earliest is due.
 * ACE's own timers are not used: its reactor waits in whole milliseconds, rounded down, and so spins through the last
 * millisecond before each timer, which showed as 10 % of a core in an idle process.
 */
class TimerQueue
{
public:
    TimerQueue();
    ~TimerQueue();
    TimerQueue(const TimerQueue &) = delete;
    TimerQueue &operator=(const TimerQueue &) = delete;

    /** @return the descriptor to watch for reading; run() is to be called when it is ready */
    int descriptor() const;

    /**
     * @param delay from now; negative counts as none
     * @param interval between repetitions; 0 for none
     */
    TimerId add(std::chrono::nanoseconds delay, std::chrono::nanoseconds interval, std::function<void()> task);

    /** Unknown and fired timers are ignored. */
    void cancel(TimerId timer);

    /** Runs what is due, in the order of the due times; not what is added meanwhile. */
    void run();

private:
    struct Timer {
        BootTime due;
        std::chrono::nanoseconds interval;
        std::function<void()> task;
    };

    void arm();

    int timer;
    TimerId last = 0;
    std::map<TimerId, Timer> timers;
    std::set<std::pair<BootTime, TimerId>> order;
    /** When the descriptor becomes readable; may be earlier than needed after a cancel. */
    std::optional<BootTime> armed;
};

} // namespace bergamotweir::loop
