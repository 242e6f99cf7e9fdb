#pragma once

#include "base/BootClock.h"
#include "loop/EventLoop.h"

#include <map>
#include <optional>
#include <set>

namespace bergamotweir::loop {

/**
 * The timers of one EventLoop, with one descriptor that becomes readable when the earliest timer is due.
 * ACE's own timers are not used: its reactor rounds the wait down to whole milliseconds and therefore polls without
 * waiting during the last millisecond before each timer, which took 10 % of a core in an idle process.
 */
class TimerQueue
{
public:
    TimerQueue();
    ~TimerQueue();
    TimerQueue(const TimerQueue &) = delete;
    TimerQueue &operator=(const TimerQueue &) = delete;

    /** @return the descriptor to watch for reading; the caller calls run() when it is readable */
    int descriptor() const;

    /**
     * @param delay time from now; a negative delay counts as 0
     * @param interval time between repetitions; 0 for a timer that fires once
     */
    TimerId add(std::chrono::nanoseconds delay, std::chrono::nanoseconds interval, std::function<void()> task);

    /** Cancels a timer; does nothing if the timer has fired or is unknown. */
    void cancel(TimerId timer);

    /** @return whether a timer is due at a moment */
    bool isDue(BootTime moment) const;

    /**
     * Runs the timers that are due, in the order of their due times, but none added meanwhile. Stops early after
     * EventLoop::MaxPriorityDelay; the descriptor is readable again if timers are left.
     */
    void run();

    /** @return the longest delay of a timer beyond its due time since the last call */
    std::chrono::nanoseconds takeMaxDelay();

private:
    struct Timer {
        BootTime dueAt;
        std::chrono::nanoseconds interval;
        std::function<void()> task;
    };

    void arm();

    int timer;
    TimerId lastId = 0;
    std::map<TimerId, Timer> timers;
    std::set<std::pair<BootTime, TimerId>> timersByDueTime;
    /** When the descriptor becomes readable; may be earlier than the first timer after a cancellation. */
    std::optional<BootTime> wakeAt;
    std::chrono::nanoseconds maxDelay{0};
};

} // namespace bergamotweir::loop
