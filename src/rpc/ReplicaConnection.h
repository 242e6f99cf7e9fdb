#pragma once

#include "base/BootClock.h"
#include "control.grpc.pb.h"
#include "rpc/ChannelPoller.h"

#include <chrono>
#include <memory>
#include <string>

namespace bergamotweir::rpc {

/**
 * A connection to one control replica, set up without a call in progress.
 * On a congested link the set-up takes seconds, so the first attempt has a long time-out. After a partition, a lost SYN
 * is retransmitted only seconds later, so attempts with a short time-out run in parallel. Used on the loop's thread. A
 * stub keeps its connection alive.
 */
class ReplicaConnection
{
public:
    /** Starts to connect. @param poller outlives the connection @param address IP:port of the replica */
    ReplicaConnection(ChannelPoller &poller, const std::string &address, BootTime now);

    /** Continues to connect if the connection is not ready. @return the replica's stub; nullptr if it is not ready */
    std::shared_ptr<wire::Control::Stub> readyStub(BootTime now);

    /** @return when the connection became ready; BootTime::max() if it is not ready */
    BootTime readySince() const;

    /** @return how long the set-up took; 0 if the connection is not ready */
    std::chrono::nanoseconds setUpTime() const;

private:
    /** A channel to the replica that is connecting or ready. */
    struct Attempt {
        std::shared_ptr<grpc::Channel> channel;
        ChannelPoller::WatchId watch = 0;
    };

    bool isReady(Attempt &attempt);
    std::shared_ptr<wire::Control::Stub> useAttempt(Attempt &attempt, BootTime now);

    ChannelPoller &poller;
    std::string address;
    BootTime connectStartedAt;
    BootTime readyAt = BootTime::max();
    Attempt primaryAttempt;
    /** Has a channel only while primaryAttempt has exceeded ParallelAttemptDelay and neither of the two is ready. */
    Attempt parallelAttempt;
    std::shared_ptr<wire::Control::Stub> stub;
};

} // namespace bergamotweir::rpc
