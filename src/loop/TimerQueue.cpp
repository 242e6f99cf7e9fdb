#include "loop/TimerQueue.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

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
    const TimerId id = ++this->lastId;
    const BootTime dueAt = BootClock::now() + std::max(delay, std::chrono::nanoseconds(0));
    this->timers.emplace(id, Timer{dueAt, interval, std::move(task)});
    this->timersByDueTime.emplace(dueAt, id);
    this->arm();
    return id;
}

void TimerQueue::cancel(TimerId timer)
{
    const auto found = this->timers.find(timer);
    if (found != this->timers.end()) {
        this->timersByDueTime.erase({found->second.dueAt, timer});
        this->timers.erase(found);
    }
}

bool TimerQueue::isDue(BootTime moment) const
{
    return !this->timersByDueTime.empty() && this->timersByDueTime.begin()->first <= moment;
}

void TimerQueue::run()
{
    std::uint64_t expirations = 0;
    [[maybe_unused]] const auto size = read(this->timer, &expirations, sizeof expirations);
    this->wakeAt.reset();
    const BootTime now = BootClock::now();
    if (!this->timersByDueTime.empty()) {
        this->maxDelay = std::max(this->maxDelay, now - this->timersByDueTime.begin()->first);
    }
    const BootTime end = now + EventLoop::MaxPriorityDelay;
    while (this->isDue(now) && BootClock::now() < end) {
        const TimerId id = this->timersByDueTime.begin()->second;
        this->timersByDueTime.erase(this->timersByDueTime.begin());
        const auto found = this->timers.find(id);
        Timer &current = found->second;
        if (current.interval.count() == 0) {
            const std::function<void()> task = std::move(current.task);
            this->timers.erase(found);
            task();
            continue;
        }
        // Repetitions that were missed while the process was suspended are skipped.
        current.dueAt = std::max(current.dueAt + current.interval, now + std::chrono::nanoseconds(1));
        this->timersByDueTime.emplace(current.dueAt, id);
        // The task may cancel its own timer.
        const std::function<void()> task = current.task;
        task();
    }
    this->arm();
}

std::chrono::nanoseconds TimerQueue::takeMaxDelay()
{
    return std::exchange(this->maxDelay, std::chrono::nanoseconds(0));
}

void TimerQueue::arm()
{
    if (this->timersByDueTime.empty() || (this->wakeAt && *this->wakeAt <= this->timersByDueTime.begin()->first)) {
        return;
    }
    this->wakeAt = this->timersByDueTime.begin()->first;
    const auto since = this->wakeAt->time_since_epoch();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(since);
    const itimerspec at{.it_interval = {},
                        .it_value = {.tv_sec = seconds.count(), .tv_nsec = (since - seconds).count()}};
    timerfd_settime(this->timer, TFD_TIMER_ABSTIME, &at, nullptr);
}

} // namespace bergamotweir::loop
