#pragma once

#include "loop/EventLoop.h"

#include <chrono>

namespace bergamotweir::process {

/**
 * Measures how late a process's event loop runs, and logs it when it is late: connections and timers are then served
 * late, too. Used on the loop's thread.
 */
class LoopMonitor
{
public:
    /** Starts to measure. @param loop outlives the monitor */
    explicit LoopMonitor(loop::EventLoop &loop);
    ~LoopMonitor();
    LoopMonitor(const LoopMonitor &) = delete;
    LoopMonitor &operator=(const LoopMonitor &) = delete;

    /** @return the longest delay of a timer within the last complete interval of a second */
    std::chrono::nanoseconds maxDelay() const;

private:
    void measure();

    loop::EventLoop &loop;
    loop::TimerId timer = 0;
    std::chrono::nanoseconds lastMaxDelay{0};
};

} // namespace bergamotweir::process
