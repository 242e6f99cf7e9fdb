#pragma once

#include "base/Result.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace bergamotweir::loop {

/** Names a timer; 0 is never used. */
using TimerId = std::uint64_t;

/** What a watched descriptor is ready for, or is watched for. */
struct Readiness {
    bool readable = false;
    bool writable = false;
};

/**
 * The single thread on which a process runs its core: sockets, timers, signals and calls posted by other threads.
 * Built on the ACE reactor. Owned by the process's main function and outlives everything registered with it.
 * All methods but post() and stop() are for the loop's own thread, or for use before run().
 */
class EventLoop
{
public:
    /** @return a loop ready to run, or why the reactor could not be opened */
    static Result<std::unique_ptr<EventLoop>> create();

    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /** Handles events until stop(); may be called again after that. */
    void run();

    /** Makes run() return soon. Any thread. */
    void stop();

    /** Runs @p task on the loop's thread, in the order posted. Any thread. */
    void post(std::function<void()> task);

    /** Runs @p task once, @p delay from now. @return the timer's name */
    TimerId after(std::chrono::nanoseconds delay, std::function<void()> task);

    /** Runs @p task every @p interval until cancelled. @return the timer's name */
    TimerId every(std::chrono::nanoseconds interval, std::function<void()> task);

    /** Cancels a timer; a timer that has fired or is unknown is ignored. */
    void cancel(TimerId timer);

    /**
     * Watches a descriptor, replacing an earlier watch on it.
     * @param descriptor stays owned by the caller, who calls unwatch() before closing it
     * @param interest what to watch for
     * @param ready called on the loop's thread; may call watch() and unwatch()
     */
    void watch(int descriptor, Readiness interest, std::function<void(Readiness)> ready);

    /** Ends a watch; a descriptor not watched is ignored. */
    void unwatch(int descriptor);

    /** Runs @p task on the loop's thread when the process receives @p signal. */
    void onSignal(int signal, std::function<void()> task);

private:
    struct Parts;
    explicit EventLoop(std::unique_ptr<Parts> parts);
    std::unique_ptr<Parts> parts;
};

} // namespace bergamotweir::loop
