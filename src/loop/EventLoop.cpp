#include "loop/EventLoop.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Event_Handler_Handle_Timeout_Upcall.h>
#include <ace/Monotonic_Time_Policy.h>
#include <ace/Reactor.h>
#include <ace/Recursive_Thread_Mutex.h>
#include <ace/Signal.h>
#include <ace/Timer_Heap_T.h>

#include <sys/timerfd.h>
#include <unistd.h>

#include <atomic>
#include <cassert>
#include <deque>
#include <map>
#include <mutex>
#include <unordered_map>

namespace bergamotweir::loop {

namespace {

/** Every descriptor, timer and signal of the loop is one of these; ACE owns none of them. */
class Watch : public ACE_Event_Handler
{
public:
    Watch(ACE_HANDLE descriptor, std::function<void(Readiness)> ready)
        : descriptor(descriptor)
        , ready(std::move(ready))
    {
    }

    ACE_HANDLE get_handle() const override
    {
        return this->descriptor;
    }

    int handle_input(ACE_HANDLE) override
    {
        return this->deliver({.readable = true});
    }

    int handle_output(ACE_HANDLE) override
    {
        return this->deliver({.writable = true});
    }

    int handle_exception(ACE_HANDLE) override
    {
        return this->deliver({.readable = true});
    }

    ACE_HANDLE descriptor;
    std::function<void(Readiness)> ready;
    bool active = true;

private:
    int deliver(Readiness readiness)
    {
        if (this->active) {
            // Kept alive by a copy: the callback may replace or end this watch.
            const std::function<void(Readiness)> callback = this->ready;
            callback(readiness);
        }
        return 0;
    }
};

/** Fires one timer. */
class Timer : public ACE_Event_Handler
{
public:
    std::function<void(TimerId)> fire;
    TimerId name = 0;
    long aceId = -1;
    bool repeats = false;
    std::function<void()> task;

    int handle_timeout(const ACE_Time_Value &, const void *) override
    {
        this->fire(this->name);
        return 0;
    }
};

/** Hands a signal, caught by ACE in signal context, to the loop's thread. */
class SignalCatcher : public ACE_Event_Handler
{
public:
    std::function<void()> caught;

    int handle_signal(int, siginfo_t *, ucontext_t *) override
    {
        this->pending.store(true);
        this->reactor()->notify(this, ACE_Event_Handler::EXCEPT_MASK);
        return 0;
    }

    int handle_exception(ACE_HANDLE) override
    {
        if (this->pending.exchange(false)) {
            this->caught();
        }
        return 0;
    }

private:
    std::atomic<bool> pending{false};
};

/** Runs posted tasks when the reactor is notified. */
class TaskQueue : public ACE_Event_Handler
{
public:
    void push(std::function<void()> task)
    {
        bool first = false;
        {
            const std::lock_guard guard(this->mutex);
            first = this->tasks.empty();
            this->tasks.push_back(std::move(task));
        }
        if (first) {
            this->reactor()->notify(this, ACE_Event_Handler::EXCEPT_MASK);
        }
    }

    int handle_exception(ACE_HANDLE) override
    {
        std::deque<std::function<void()>> taken;
        {
            const std::lock_guard guard(this->mutex);
            taken.swap(this->tasks);
        }
        for (const std::function<void()> &task : taken) {
            task();
        }
        return 0;
    }

private:
    std::mutex mutex;
    std::deque<std::function<void()>> tasks;
};

ACE_Time_Value toAce(std::chrono::nanoseconds delay)
{
    const auto micros = std::chrono::ceil<std::chrono::microseconds>(std::max(delay, std::chrono::nanoseconds(0)));
    return ACE_Time_Value(micros);
}

/** A timer queue on the monotonic clock: a step of the wall clock must not delay a lease check. */
using MonotonicTimerHeap = ACE_Timer_Heap_T<ACE_Event_Handler *,
                                            ACE_Event_Handler_Handle_Timeout_Upcall,
                                            ACE_SYNCH_RECURSIVE_MUTEX,
                                            ACE_Monotonic_Time_Policy>;

constexpr std::size_t MaxDescriptors = 8192;

} // namespace

struct EventLoop::Parts {
    Parts();
    ~Parts();

    MonotonicTimerHeap timerHeap;
    /** Becomes readable when the earliest timer is due. */
    int timerDescriptor;
    ACE_Time_Value armedFor = ACE_Time_Value::max_time;
    ACE_Dev_Poll_Reactor implementation{MaxDescriptors, true};
    ACE_Reactor reactor{&implementation};
    TaskQueue tasks;
    std::unordered_map<int, std::unique_ptr<Watch>> watches;
    std::vector<std::unique_ptr<Watch>> endedWatches;
    std::unordered_map<TimerId, std::unique_ptr<Timer>> timers;
    std::map<int, std::unique_ptr<SignalCatcher>> signals;
    TimerId lastTimer = 0;

    TimerId schedule(std::chrono::nanoseconds delay, std::chrono::nanoseconds interval, std::function<void()> task);
    void fire(TimerId name);
    void arm();
    void expire();
};

EventLoop::Parts::Parts()
    : timerDescriptor(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
{
}

EventLoop::Parts::~Parts()
{
    close(this->timerDescriptor);
}

// Guards against a loop that spins: the reactor's own timer wait is cut to whole milliseconds, so it would poll
// without waiting for the last part of each wait (half a millisecond of processor time for each timer that fires).
// The descriptor waits to the nanosecond. A timer that was cancelled costs one needless wake and is not disarmed.
void EventLoop::Parts::arm()
{
    if (this->timerHeap.is_empty() || this->timerHeap.earliest_time() >= this->armedFor) {
        return;
    }
    this->armedFor = this->timerHeap.earliest_time();
    itimerspec due{};
    due.it_value = this->armedFor;
    timerfd_settime(this->timerDescriptor, TFD_TIMER_ABSTIME, &due, nullptr);
}

void EventLoop::Parts::expire()
{
    std::uint64_t expirations = 0;
    [[maybe_unused]] const auto count = read(this->timerDescriptor, &expirations, sizeof expirations);
    this->armedFor = ACE_Time_Value::max_time;
    this->timerHeap.expire();
}

TimerId EventLoop::Parts::schedule(std::chrono::nanoseconds delay,
                                   std::chrono::nanoseconds interval,
                                   std::function<void()> task)
{
    auto timer = std::make_unique<Timer>();
    timer->name = ++this->lastTimer;
    timer->task = std::move(task);
    timer->repeats = interval.count() > 0;
    timer->fire = [this](TimerId name) {
        this->fire(name);
    };
    timer->aceId =
        this->timerHeap.schedule(timer.get(), nullptr, this->timerHeap.gettimeofday() + toAce(delay), toAce(interval));
    assert(timer->aceId != -1);
    const TimerId name = timer->name;
    this->timers.emplace(name, std::move(timer));
    return name;
}

void EventLoop::Parts::fire(TimerId name)
{
    const auto found = this->timers.find(name);
    if (found == this->timers.end()) {
        return;
    }
    if (found->second->repeats) {
        const std::function<void()> task = found->second->task;
        task();
        return;
    }
    const std::unique_ptr<Timer> ended = std::move(found->second);
    this->timers.erase(found);
    ended->task();
}

Result<std::unique_ptr<EventLoop>> EventLoop::create()
{
    auto parts = std::make_unique<Parts>();
    if (!parts->reactor.initialized()) {
        return oneFinding("event loop", "the ACE reactor could not be opened");
    }
    if (parts->timerDescriptor < 0) {
        return oneFinding("event loop", "the timer descriptor could not be opened");
    }
    parts->tasks.reactor(&parts->reactor);
    return std::unique_ptr<EventLoop>(new EventLoop(std::move(parts)));
}

EventLoop::EventLoop(std::unique_ptr<Parts> parts)
    : parts(std::move(parts))
{
    this->watch(this->parts->timerDescriptor, {.readable = true}, [this](Readiness) {
        this->parts->expire();
    });
}

EventLoop::~EventLoop()
{
    for (const auto &[name, timer] : this->parts->timers) {
        this->parts->timerHeap.cancel(timer->aceId);
    }
    while (!this->parts->watches.empty()) {
        this->unwatch(this->parts->watches.begin()->first);
    }
    for (const auto &[signal, catcher] : this->parts->signals) {
        this->parts->reactor.remove_handler(signal, static_cast<ACE_Sig_Action *>(nullptr));
    }
    this->parts->reactor.purge_pending_notifications(&this->parts->tasks);
}

void EventLoop::run()
{
    this->parts->reactor.reset_reactor_event_loop();
    while (this->parts->reactor.reactor_event_loop_done() == 0) {
        this->parts->arm();
        this->parts->reactor.handle_events();
        this->parts->endedWatches.clear();
    }
}

void EventLoop::stop()
{
    this->post([this] {
        this->parts->reactor.end_reactor_event_loop();
    });
}

void EventLoop::post(std::function<void()> task)
{
    this->parts->tasks.push(std::move(task));
}

TimerId EventLoop::after(std::chrono::nanoseconds delay, std::function<void()> task)
{
    return this->parts->schedule(delay, std::chrono::nanoseconds(0), std::move(task));
}

TimerId EventLoop::every(std::chrono::nanoseconds interval, std::function<void()> task)
{
    return this->parts->schedule(interval, interval, std::move(task));
}

void EventLoop::cancel(TimerId timer)
{
    const auto found = this->parts->timers.find(timer);
    if (found == this->parts->timers.end()) {
        return;
    }
    this->parts->timerHeap.cancel(found->second->aceId);
    this->parts->timers.erase(found);
}

void EventLoop::watch(int descriptor, Readiness interest, std::function<void(Readiness)> ready)
{
    this->unwatch(descriptor);
    auto watch = std::make_unique<Watch>(descriptor, std::move(ready));
    ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
    if (interest.readable) {
        mask |= ACE_Event_Handler::READ_MASK;
    }
    if (interest.writable) {
        mask |= ACE_Event_Handler::WRITE_MASK;
    }
    this->parts->reactor.register_handler(watch.get(), mask);
    this->parts->watches.emplace(descriptor, std::move(watch));
}

void EventLoop::unwatch(int descriptor)
{
    const auto found = this->parts->watches.find(descriptor);
    if (found == this->parts->watches.end()) {
        return;
    }
    found->second->active = false;
    this->parts->reactor.remove_handler(found->second.get(),
                                        ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    // The reactor may be calling this very watch: it is freed once the call has returned.
    this->parts->endedWatches.push_back(std::move(found->second));
    this->parts->watches.erase(found);
}

void EventLoop::onSignal(int signal, std::function<void()> task)
{
    auto catcher = std::make_unique<SignalCatcher>();
    catcher->caught = std::move(task);
    catcher->reactor(&this->parts->reactor);
    this->parts->reactor.register_handler(signal, catcher.get());
    this->parts->signals[signal] = std::move(catcher);
}

} // namespace bergamotweir::loop
