#pragma once

#include <grpcpp/channel.h>
#include <grpcpp/completion_queue.h>

#include <cstdint>
#include <mutex>
#include <set>
#include <thread>

namespace bergamotweir::rpc {

/**
 * Lets channels connect without a call in progress: gRPC proceeds with setting up a connection immediately only while a
 * thread waits for its events, and otherwise polls every few seconds. Owns such a thread; its methods must be called on
 * the loop's thread.
 */
class ChannelPoller
{
public:
    using WatchId = std::uintptr_t;

    ChannelPoller();
    /** Waits for the active watches to end, which takes less than a second. */
    ~ChannelPoller();
    ChannelPoller(const ChannelPoller &) = delete;
    ChannelPoller &operator=(const ChannelPoller &) = delete;

    /** Watches a channel until its state changes, for less than a second. @param state the state seen last */
    WatchId watch(grpc::Channel &channel, grpc_connectivity_state state);

    bool isWatching(WatchId id) const;

private:
    void run();

    grpc::CompletionQueue queue;
    mutable std::mutex mutex;
    std::set<WatchId> activeWatches;
    WatchId lastId = 0;
    std::thread thread;
};

} // namespace bergamotweir::rpc
