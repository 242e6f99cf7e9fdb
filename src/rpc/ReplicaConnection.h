#pragma once

#include "base/BootClock.h"
#include "control.grpc.pb.h"
#include "rpc/ChannelPoller.h"

#include <chrono>
#include <memory>
#include <string>

namespace bergamotweir::rpc {

/**
 * A connection to one control replica, set up without a call on it.
 * On a congested link set-up takes seconds, so the first attempt is left to finish. After a partition a lost SYN is
 * retransmitted only seconds later, so attempts with a short timeout run beside it.
 * Used on the loop's thread; whoever holds a stub keeps its connection.
 */
class ReplicaConnection
{
public:
    /** Starts to set it up. @param poller outlives it @param address IP:port of the replica */
    ReplicaConnection(ChannelPoller &poller, const std::string &address, BootTime now);

    /** Goes on setting it up if it isn't ready. @return the replica's stub; nullptr as long as it isn't ready */
    std::shared_ptr<wire::Control::Stub> ready(BootTime now);

    /** @return since when it is ready; BootTime::max() when it isn't */
    BootTime readySince() const;

    /** @return how long its set-up took; 0 when it isn't ready */
    std::chrono::nanoseconds setUpTime() const;

private:
    /** One way to the replica that is being set up, or is ready. */
    struct Attempt {
        std::shared_ptr<grpc::Channel> channel;
        ChannelPoller::WatchId watch = 0;
    };

    bool isReady(Attempt &attempt);
    std::shared_ptr<wire::Control::Stub> chosen(Attempt &attempt, BootTime now);

    ChannelPoller &poller;
    std::string address;
    BootTime begunAt;
    BootTime readyAt = BootTime::max();
    Attempt patient;
    /** Has no channel until the patient one is late, and once either is ready. */
    Attempt impatient;
    std::shared_ptr<wire::Control::Stub> stub;
};

} // namespace bergamotweir::rpc
