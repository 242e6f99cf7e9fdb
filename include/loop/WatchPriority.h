#pragma once

namespace bergamotweir::loop {

/** Order in which an EventLoop serves descriptors that are ready at the same time. */
enum class WatchPriority {
    /** In the order in which they became ready; with many ready descriptors, one waits for all others. */
    Normal,
    /**
     * Within EventLoop::MaxPriorityDelay and the handling of one event, however many others are ready. For the few
     * connections that keep the process a working member of the system.
     */
    High,
};

} // namespace bergamotweir::loop
