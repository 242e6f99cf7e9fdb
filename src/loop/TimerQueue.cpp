#include "loop/TimerQueue.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>

namespace bergamotweir::loop {

TimerQueue::TimerQueue()
    : timer(timerfd_create(CLOCK_BOOTTIME, TFD_CLOEXEC | TFD_NONBLOCK))
{
}

TimerQueue::~TimerQueue()
{
    close(this->timer);
}

int TimerQueue::descriptor() const
{
    return this->timer;
}

TimerId TimerQueue::add(std::chrono::nanoseconds delay, std::chrono::nanoseconds interval, std::function<void()> task)
{
    const TimerId name = ++this->last;
    const BootTime due = BootClock::now() + std::max(delay, std::chrono::nanoseconds(0));
    this->timers.emplace(name, Timer{due, interval, std::move(task)});
    this->order.emplace(due, name);
    this->arm();
    return name;
}

void TimerQueue::cancel(TimerId timer)
{
    const auto found = this->timers.find(timer);
    if (found != this->timers.end()) {
        this->order.erase({found->second.due, timer});
        this->timers.erase(found);
    }
}

void TimerQueue::run()
{
    std::uint64_t expirations = 0;
    [[maybe_unused]] const auto size = read(this->timer, &expirations, sizeof expirations);
    this->armed.reset();
    const BootTime now = BootClock::now();
    while (!this->order.empty() && this->order.begin()->first <= now) {
        const TimerId name = this->order.begin()->second;
        this->order.erase(this->order.begin());
        const auto found = this->timers.find(name);
        Timer &due = found->second;
        if (due.interval.count() == 0) {
            const std::function<void()> task = std::move(due.task);
            this->timers.erase(found);
            task();
            continue;
        }
        // A process that was frozen makes up for none of the repetitions missed.
        due.due = std::max(due.due + due.interval, now + std::chrono::nanoseconds(1));
        this->order.emplace(due.due, name);
        // The task may cancel its own timer.
        const std::function<void()> task = due.task;
        task();
    }
    this->arm();
}

void TimerQueue::arm()
{
    if (this->order.empty() || (this->armed && *this->armed <= this->order.begin()->first)) {
        return;
    }
    this->armed = this->order.begin()->first;
    const auto since = this->armed->time_since_epoch();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(since);
    const itimerspec at{.it_interval = {},
                        .it_value = {.tv_sec = seconds.count(), .tv_nsec = (since - seconds).count()}};
    timerfd_settime(this->timer, TFD_TIMER_ABSTIME, &at, nullptr);
}

} // namespace bergamotweir::loop
