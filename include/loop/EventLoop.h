#pragma once

#include "base/Result.h"
#include "loop/WatchPriority.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace bergamotweir::loop {

/** Identifies a timer; 0 is never used. */
using TimerId = std::uint64_t;

/** The I/O events for which a descriptor is ready or is watched. */
struct Readiness {
    bool readable = false;
    bool writable = false;
};

/**
 * Dispatches socket events, timers, signals and tasks posted by other threads on a single thread, on which a process
 * runs its core.
 * Built on the ACE reactor, which serves ready descriptors one at a time in the order in which they became ready.
 * Timers and descriptors of high priority don't wait for that order. Owned by the process's main function and outlives
 * everything registered with it. All methods except post() and stop() may be called only on the loop's own thread or
 * before run().
 */
class EventLoop
{
public:
    /** Time after which timers that are due and ready descriptors of high priority are served before all others. */
    static constexpr std::chrono::milliseconds MaxPriorityDelay{10};

    /** @return a loop that is ready to run, or the reason why the reactor could not be opened */
    static Result<std::unique_ptr<EventLoop>> create();

    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Handles events until stop() is called; may be called again after that. */
    void run();

    /** Makes run() return soon, after the tasks posted before. Any thread. */
    void stop();

    /** Runs @p task on the loop's thread, in the order posted. Any thread. */
    void post(std::function<void()> task);

    /** Runs @p task once, @p delay from now. @return the timer's id */
    TimerId after(std::chrono::nanoseconds delay, std::function<void()> task);

    /** Runs @p task every @p interval until cancelled. @return the timer's id */
    TimerId every(std::chrono::nanoseconds interval, std::function<void()> task);

    /** Cancels a timer; does nothing if the timer has fired or is unknown. */
    void cancel(TimerId timer);

    /**
     * Watches a descriptor and replaces any earlier watch on it.
     * @param descriptor remains owned by the caller, which calls unwatch() before closing it
     * @param interest the events to watch for
     * @param ready called on the loop's thread; may call watch() and unwatch()
     * @param priority order among descriptors that are ready at the same time
     */
    void watch(int descriptor,
               Readiness interest,
               std::function<void(Readiness)> ready,
               WatchPriority priority = WatchPriority::Normal);

    /** Stops watching a descriptor; does nothing if it is not watched. */
    void unwatch(int descriptor);

    /** @return the longest delay of a timer beyond its due time since the last call */
    std::chrono::nanoseconds takeMaxTimerDelay();

    /** Runs @p task on the loop's thread when the process receives @p signal. */
    void onSignal(int signal, std::function<void()> task);

private:
    struct Parts;
    explicit EventLoop(std::unique_ptr<Parts> parts);
    std::unique_ptr<Parts> parts;
};

} // namespace bergamotweir::loop
