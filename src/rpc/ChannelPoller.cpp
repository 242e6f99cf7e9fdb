#include "rpc/ChannelPoller.h"

#include <chrono>

namespace bergamotweir::rpc {

namespace {

/** Maximum duration of a watch. A watch keeps its channel alive, so a dropped channel is closed after this at most. */
constexpr std::chrono::milliseconds MaxWatchTime{250};

} // namespace

ChannelPoller::ChannelPoller()
    : thread([this] {
        this->run();
    })
{
}

ChannelPoller::~ChannelPoller()
{
    this->queue.Shutdown();
    this->thread.join();
}

/** Runs until the queue is shut down and empty. Each watch ends with an event, so this ends after the last watch. */
void ChannelPoller::run()
{
    void *tag = nullptr;
    bool changed = false;
    while (this->queue.Next(&tag, &changed)) {
        const std::lock_guard guard(this->mutex);
        this->activeWatches.erase(reinterpret_cast<WatchId>(tag));
    }
}

ChannelPoller::WatchId ChannelPoller::watch(grpc::Channel &channel, grpc_connectivity_state state)
{
    const WatchId id = ++this->lastId;
    {
        const std::lock_guard guard(this->mutex);
        this->activeWatches.insert(id);
    }
    const auto deadline = std::chrono::system_clock::now() + MaxWatchTime;
    // The queue takes the id in place of a pointer. NOLINTNEXTLINE(performance-no-int-to-ptr)
    channel.NotifyOnStateChange(state, deadline, &this->queue, reinterpret_cast<void *>(id));
    return id;
}

bool ChannelPoller::isWatching(WatchId id) const
{
    const std::lock_guard guard(this->mutex);
    return this->activeWatches.contains(id);
}

} // namespace bergamotweir::rpc
