#include "process/LoopMonitor.h"

#include "loop/Log.h"

namespace bergamotweir::process {

namespace {

constexpr std::chrono::seconds MeasureInterval{1};
/** Delay above which a line is logged: a large part of the time in which replicas and agents expect an answer. */
constexpr std::chrono::milliseconds MaxUnloggedDelay{250};

constexpr loop::Log Log("loop");

} // namespace

LoopMonitor::LoopMonitor(loop::EventLoop &loop)
    : loop(loop)
    , timer(loop.every(MeasureInterval, [this] {
        this->measure();
    }))
{
}

LoopMonitor::~LoopMonitor()
{
    this->loop.cancel(this->timer);
}

std::chrono::nanoseconds LoopMonitor::maxDelay() const
{
    return this->lastMaxDelay;
}

void LoopMonitor::measure()
{
    this->lastMaxDelay = this->loop.takeMaxTimerDelay();
    if (this->lastMaxDelay > MaxUnloggedDelay) {
        Log.event(loop::LogLevel::Warn, "event loop late").with("max_delay_ms", this->lastMaxDelay);
    }
}

} // namespace bergamotweir::process
