#pragma once

#include "base/Backoff.h"
#include "base/BootClock.h"
#include "rpc/FrameSocket.h"

#include <chrono>
#include <memory>
#include <string>

namespace bergamotweir::rpc {

/**
 * A connection to one control replica, set up before it is used and set up again after it has failed.
 * On a congested link the set-up takes seconds, so the first attempt has a long time-out. After a partition, a lost SYN
 * is retransmitted only seconds later, so attempts with a short time-out run in parallel. Used on the loop's thread.
 */
class ReplicaConnection
{
public:
    /** Starts to connect. @param loop outlives the connection @param address IP:port of the replica */
    ReplicaConnection(loop::EventLoop &loop, std::string address, BootTime now);
    /** Closes the connection. */
    ~ReplicaConnection();
    ReplicaConnection(const ReplicaConnection &) = delete;
    ReplicaConnection &operator=(const ReplicaConnection &) = delete;

    /** Continues to connect if the connection is not ready. @return the connection; nullptr if it is not ready */
    std::shared_ptr<FrameSocket> ready(BootTime now);

    /** @return when the connection became ready; BootTime::max() if it is not ready */
    BootTime readySince() const;

    /** @return how long the set-up took; 0 if the connection is not ready */
    std::chrono::nanoseconds setUpTime() const;

private:
    /** A socket that is connecting or ready. */
    struct Attempt {
        std::shared_ptr<FrameSocket> socket;
        BootTime deadline;
        /** Number of consecutive sockets that failed. */
        unsigned failures = 0;
        /** When the next socket may be opened after a failure. */
        BootTime retryAt;
    };

    void proceed(Attempt &attempt, std::chrono::milliseconds timeout, BootTime now);
    std::shared_ptr<FrameSocket> use(Attempt &attempt, BootTime now);

    loop::EventLoop &loop;
    std::string address;
    BootTime connectStartedAt;
    BootTime readyAt = BootTime::max();
    Attempt primaryAttempt;
    /** Has a socket only while primaryAttempt has exceeded ParallelAttemptDelay and neither of the two is ready. */
    Attempt parallelAttempt;
};

} // namespace bergamotweir::rpc
