#pragma once

#include <grpcpp/channel.h>
#include <grpcpp/completion_queue.h>

#include <cstdint>
#include <mutex>
#include <set>
#include <thread>

namespace bergamotweir::rpc {

/**
 * Lets channels connect although no call is on them: gRPC goes on with a connection at once only while a thread waits
 * for its events, and otherwise looks every few seconds. Has such a thread; its methods are for the loop's thread.
 */
class ChannelPoller
{
public:
    using WatchId = std::uintptr_t;

    ChannelPoller();
    /** Waits for the watches that are still on, a part of a second at most. */
    ~ChannelPoller();
    ChannelPoller(const ChannelPoller &) = delete;
    ChannelPoller &operator=(const ChannelPoller &) = delete;

    /** Watches a channel until its state changes, for a part of a second at most. @param state as last seen */
    WatchId watch(grpc::Channel &channel, grpc_connectivity_state state);

    bool isWatching(WatchId id) const;

private:
    void run();

    grpc::CompletionQueue queue;
    mutable std::mutex mutex;
    std::set<WatchId> watching;
    WatchId lastId = 0;
    std::thread thread;
};

} // namespace bergamotweir::rpc
