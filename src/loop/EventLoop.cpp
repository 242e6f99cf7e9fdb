#include "loop/EventLoop.h"

#include "loop/TimerQueue.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Signal.h>

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <cassert>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
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
        // The loop's own thread looks at the queue before it waits again.
        if (first && std::this_thread::get_id() != this->loopThread.load()) {
            this->reactor()->notify(this, ACE_Event_Handler::EXCEPT_MASK);
        }
    }

    int handle_exception(ACE_HANDLE) override
    {
        this->run();
        return 0;
    }

    /** Runs what has been posted; not what is posted meanwhile. */
    void run()
    {
        std::deque<std::function<void()>> taken;
        {
            const std::lock_guard guard(this->mutex);
            taken.swap(this->tasks);
        }
        for (const std::function<void()> &task : taken) {
            task();
        }
    }

    bool empty()
    {
        const std::lock_guard guard(this->mutex);
        return this->tasks.empty();
    }

    std::atomic<std::thread::id> loopThread;

private:
    std::mutex mutex;
    std::deque<std::function<void()>> tasks;
};

/** Tasks posted by tasks run in the same turn, but must not keep sockets and timers waiting for ever. */
constexpr int TaskRoundsPerTurn = 8;
/** Descriptors that the loop watches at most; the reactor keeps a table entry for each. */
constexpr rlim_t MostDescriptors = 8192;

/**
 * Guards against a process that can't start on a VM which allows few descriptors: the reactor refuses to open for more
 * than the process may have.
 */
std::size_t descriptorsAllowed()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return MostDescriptors;
    }
    return std::min(limit.rlim_cur, MostDescriptors);
}

} // namespace

struct EventLoop::Parts {
    ACE_Dev_Poll_Reactor implementation{descriptorsAllowed(), true};
    ACE_Reactor reactor{&implementation};
    TaskQueue tasks;
    std::unordered_map<int, std::unique_ptr<Watch>> watches;
    std::vector<std::unique_ptr<Watch>> endedWatches;
    TimerQueue timers;
    std::map<int, std::unique_ptr<SignalCatcher>> signals;
};

Result<std::unique_ptr<EventLoop>> EventLoop::create()
{
    auto parts = std::make_unique<Parts>();
    if (!parts->reactor.initialized()) {
        return oneFinding("event loop", "the ACE reactor could not be opened");
    }
    parts->tasks.reactor(&parts->reactor);
    TimerQueue &timers = parts->timers;
    std::unique_ptr<EventLoop> loop(new EventLoop(std::move(parts)));
    loop->watch(timers.descriptor(), {.readable = true}, [&timers](Readiness) {
        timers.run();
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
    for (const auto &[signal, catcher] : this->parts->signals) {
        this->parts->reactor.remove_handler(signal, static_cast<ACE_Sig_Action *>(nullptr));
    }
    this->parts->reactor.purge_pending_notifications(&this->parts->tasks);
}

void EventLoop::run()
{
    this->parts->reactor.reset_reactor_event_loop();
    this->parts->tasks.loopThread = std::this_thread::get_id();
    while (this->parts->reactor.reactor_event_loop_done() == 0) {
        for (int round = 0; round < TaskRoundsPerTurn && !this->parts->tasks.empty(); ++round) {
            this->parts->tasks.run();
        }
        if (this->parts->tasks.empty()) {
            this->parts->reactor.handle_events();
        } else {
            ACE_Time_Value none = ACE_Time_Value::zero;
            this->parts->reactor.handle_events(none);
        }
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
