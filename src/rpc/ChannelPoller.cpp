#include "rpc/ChannelPoller.h"

#include <chrono>

namespace bergamotweir::rpc {

namespace {

/** A watch keeps its channel alive, so that a channel that was dropped ends so much later at most. */
constexpr std::chrono::milliseconds WatchTime{250};

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

/** Each watch ends with an event, so that after Shutdown() the last one ends the thread. */
void ChannelPoller::run()
{
    void *tag = nullptr;
    bool changed = false;
    while (this->queue.Next(&tag, &changed)) {
        const std::lock_guard guard(this->mutex);
        this->watching.erase(reinterpret_cast<WatchId>(tag));
    }
}

ChannelPoller::WatchId ChannelPoller::watch(grpc::Channel &channel, grpc_connectivity_state state)
{
    const WatchId id = ++this->lastId;
    {
        const std::lock_guard guard(this->mutex);
        this->watching.insert(id);
    }
    const auto until = std::chrono::system_clock::now() + WatchTime;
    // The queue keeps the id in the place of a pointer. NOLINTNEXTLINE(performance-no-int-to-ptr)
    channel.NotifyOnStateChange(state, until, &this->queue, reinterpret_cast<void *>(id));
    return id;
}

bool ChannelPoller::isWatching(WatchId id) const
{
    const std::lock_guard guard(this->mutex);
    return this->watching.contains(id);
}

} // namespace bergamotweir::rpc
