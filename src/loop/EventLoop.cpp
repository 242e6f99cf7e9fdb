#include "loop/EventLoop.h"

#include "base/BootClock.h"
#include "loop/TimerQueue.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Signal.h>

#include <poll.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <cassert>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>
#include <vector>

namespace bergamotweir::loop {

namespace {

/** Event handler of one watched descriptor; not owned by ACE. */
class Watch : public ACE_Event_Handler
{
public:
    Watch(ACE_HANDLE descriptor, Readiness interest, std::function<void(Readiness)> ready)
        : descriptor(descriptor)
        , interest(interest)
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
    Readiness interest;
    std::function<void(Readiness)> ready;
    bool isActive = true;

private:
    int deliver(Readiness readiness)
    {
        if (this->isActive) {
            // Copied, as the callback may replace or remove this watch while it runs.
            const std::function<void(Readiness)> callback = this->ready;
            callback(readiness);
        }
        return 0;
    }
};

/** Forwards a signal, which ACE receives in signal context, to the loop's thread. */
class SignalHandler : public ACE_Event_Handler
{
public:
    std::function<void()> signalTask;

    int handle_signal(int, siginfo_t *, ucontext_t *) override
    {
        this->pending.store(true);
        this->reactor()->notify(this, ACE_Event_Handler::EXCEPT_MASK);
        return 0;
    }

    int handle_exception(ACE_HANDLE) override
    {
        if (this->pending.exchange(false)) {
            this->signalTask();
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
        // The loop's own thread checks the queue before it waits again.
        if (first && std::this_thread::get_id() != this->loopThread.load()) {
            this->reactor()->notify(this, ACE_Event_Handler::EXCEPT_MASK);
        }
    }

    int handle_exception(ACE_HANDLE) override
    {
        this->run();
        return 0;
    }

    /** Runs the tasks posted so far, but not those that are posted meanwhile; stops early after MaxPriorityDelay. */
    void run()
    {
        if (this->batch.empty()) {
            const std::lock_guard guard(this->mutex);
            this->batch.swap(this->tasks);
        }
        const BootTime end = BootClock::now() + EventLoop::MaxPriorityDelay;
        while (!this->batch.empty()) {
            const std::function<void()> task = std::move(this->batch.front());
            this->batch.pop_front();
            task();
            if (BootClock::now() >= end) {
                return;
            }
        }
    }

    bool empty()
    {
        const std::lock_guard guard(this->mutex);
        return this->batch.empty() && this->tasks.empty();
    }

    std::atomic<std::thread::id> loopThread;

private:
    std::mutex mutex;
    std::deque<std::function<void()>> tasks;
    /** Tasks that are run before those in @c tasks; used on the loop's thread only. */
    std::deque<std::function<void()>> batch;
};

/** Tasks posted by tasks run in the same iteration of the loop; the bound prevents starvation of sockets and timers. */
constexpr int MaxTaskRoundsPerIteration = 8;
/** Maximum number of descriptors that the loop watches; the reactor keeps a table entry of a few bytes for each. */
constexpr rlim_t MaxDescriptors = 65536;

/**
 * Returns the size of the reactor's descriptor table.
 * Guards against a process that can't start on a VM with a low limit of descriptors: the reactor fails to open with a
 * table larger than that limit.
 */
std::size_t maxReactorDescriptors()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return MaxDescriptors;
    }
    return std::min(limit.rlim_cur, MaxDescriptors);
}

} // namespace

struct EventLoop::Parts {
    void serveOverdue();
    void servePriority();
    void serveTimers();

    ACE_Dev_Poll_Reactor implementation{maxReactorDescriptors(), true};
    ACE_Reactor reactor{&implementation};
    TaskQueue tasks;
    std::unordered_map<int, std::unique_ptr<Watch>> watches;
    /** The watches of high priority, which are among @c watches too. */
    std::set<Watch *> priorityWatches;
    /** When the timers and the watches of high priority were last served ahead of others. */
    BootTime priorityServedAt{};
    std::vector<std::unique_ptr<Watch>> endedWatches;
    TimerQueue timers;
    std::map<int, std::unique_ptr<SignalHandler>> signals;
};

/** Serves timers that are due and watches of high priority, if they may have waited for MaxPriorityDelay. */
void EventLoop::Parts::serveOverdue()
{
    const BootTime now = BootClock::now();
    if (now - this->priorityServedAt < MaxPriorityDelay) {
        return;
    }
    this->priorityServedAt = now;
    this->servePriority();
    if (this->timers.isDue(now)) {
        this->timers.run();
    }
}

void EventLoop::Parts::servePriority()
{
    std::vector<pollfd> polled;
    std::vector<Watch *> polledWatches;
    for (Watch *const watch : this->priorityWatches) {
        const int events = (watch->interest.readable ? POLLIN : 0) | (watch->interest.writable ? POLLOUT : 0);
        polled.push_back({watch->descriptor, static_cast<short>(events), 0});
        polledWatches.push_back(watch);
    }
    if (polled.empty() || poll(polled.data(), polled.size(), 0) <= 0) {
        return;
    }
    // Watches that end meanwhile are kept until the end of the iteration, and are not active any more.
    for (std::size_t index = 0; index < polled.size(); ++index) {
        if ((polled[index].revents & POLLOUT) != 0) {
            polledWatches[index]->handle_output(polled[index].fd);
        }
        if ((polled[index].revents & ~POLLOUT) != 0) {
            polledWatches[index]->handle_input(polled[index].fd);
        }
    }
}

/**
 * Guards against timeouts that end working connections after the process was suspended: what has arrived meanwhile is
 * read first.
 */
void EventLoop::Parts::serveTimers()
{
    if (this->timers.isDue(BootClock::now() - MaxPriorityDelay)) {
        this->servePriority();
    }
    this->timers.run();
}

Result<std::unique_ptr<EventLoop>> EventLoop::create()
{
    auto parts = std::make_unique<Parts>();
    if (!parts->reactor.initialized()) {
        return oneFinding("event loop", "the ACE reactor could not be opened");
    }
    parts->tasks.reactor(&parts->reactor);
    Parts *const self = parts.get();
    std::unique_ptr<EventLoop> loop(new EventLoop(std::move(parts)));
    loop->watch(self->timers.descriptor(), {.readable = true}, [self](Readiness) {
        self->serveTimers();
    });
    return loop;
}

EventLoop::EventLoop(std::unique_ptr<Parts> parts)
    : parts(std::move(parts))
{
}

EventLoop::~EventLoop()
{
    while (!this->parts->watches.empty()) {
        this->unwatch(this->parts->watches.begin()->first);
    }
    for (const auto &[signal, handler] : this->parts->signals) {
        this->parts->reactor.remove_handler(signal, static_cast<ACE_Sig_Action *>(nullptr));
    }
    this->parts->reactor.purge_pending_notifications(&this->parts->tasks);
}

void EventLoop::run()
{
    this->parts->reactor.reset_reactor_event_loop();
    this->parts->tasks.loopThread = std::this_thread::get_id();
    while (this->parts->reactor.reactor_event_loop_done() == 0) {
        const BootTime tasksEnd = BootClock::now() + MaxPriorityDelay;
        for (int round = 0; round < MaxTaskRoundsPerIteration && !this->parts->tasks.empty(); ++round) {
            this->parts->tasks.run();
            if (BootClock::now() >= tasksEnd) {
                break;
            }
        }
        if (this->parts->tasks.empty()) {
            this->parts->reactor.handle_events();
        } else {
            ACE_Time_Value noWait = ACE_Time_Value::zero;
            this->parts->reactor.handle_events(noWait);
        }
        this->parts->serveOverdue();
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
    return this->parts->timers.add(delay, std::chrono::nanoseconds(0), std::move(task));
}

TimerId EventLoop::every(std::chrono::nanoseconds interval, std::function<void()> task)
{
    return this->parts->timers.add(interval, interval, std::move(task));
}

void EventLoop::cancel(TimerId timer)
{
    this->parts->timers.cancel(timer);
}

std::chrono::nanoseconds EventLoop::takeMaxTimerDelay()
{
    return this->parts->timers.takeMaxDelay();
}

void EventLoop::watch(int descriptor, Readiness interest, std::function<void(Readiness)> ready, WatchPriority priority)
{
    this->unwatch(descriptor);
    auto watch = std::make_unique<Watch>(descriptor, interest, std::move(ready));
    ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
    if (interest.readable) {
        mask |= ACE_Event_Handler::READ_MASK;
    }
    if (interest.writable) {
        mask |= ACE_Event_Handler::WRITE_MASK;
    }
    this->parts->reactor.register_handler(watch.get(), mask);
    if (priority == WatchPriority::High) {
        this->parts->priorityWatches.insert(watch.get());
    }
    this->parts->watches.emplace(descriptor, std::move(watch));
}

void EventLoop::unwatch(int descriptor)
{
    const auto found = this->parts->watches.find(descriptor);
    if (found == this->parts->watches.end()) {
        return;
    }
    found->second->isActive = false;
    this->parts->priorityWatches.erase(found->second.get());
    this->parts->reactor.remove_handler(found->second.get(),
                                        ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    // The reactor may be inside a call of this watch, so it is freed only after the call has returned.
    this->parts->endedWatches.push_back(std::move(found->second));
    this->parts->watches.erase(found);
}

void EventLoop::onSignal(int signal, std::function<void()> task)
{
    auto handler = std::make_unique<SignalHandler>();
    handler->signalTask = std::move(task);
    handler->reactor(&this->parts->reactor);
    this->parts->reactor.register_handler(signal, handler.get());
    this->parts->signals[signal] = std::move(handler);
}

} // namespace bergamotweir::loop
