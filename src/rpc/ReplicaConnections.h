#pragma once

#include "rpc/ReplicaConnection.h"

#include <map>
#include <string>
#include <vector>

namespace bergamotweir::rpc {

/** A client's connections to the control replicas, set up in parallel; used on the loop's thread. */
class ReplicaConnections
{
public:
    /** Interval at which a client that waits for a connection checks whether one is ready. */
    static constexpr std::chrono::milliseconds PollInterval{5};

    /** @param loop outlives the connections */
    explicit ReplicaConnections(loop::EventLoop &loop);

    /** Sets up the connections that do not exist yet. @param addresses IP:port of each replica */
    void connectAll(const std::vector<std::string> &addresses, BootTime now);

    /** @return the connection to the replica at @p address; nullptr if it is not ready */
    std::shared_ptr<FrameSocket> ready(const std::string &address, BootTime now);

    /** @return how long setting up the connection to @p address took; 0 if it is not ready */
    std::chrono::nanoseconds setUpTime(const std::string &address) const;

    /** @return how long an answer from @p address may take, estimated from the set-up time of its connection; at most 2
     * s */
    std::chrono::nanoseconds maxAnswerTime(const std::string &address) const;

    /**
     * Closes the connections that were ready at @p time, so that new ones replace them.
     * After a partition, TCP retransmits the data sent during it at intervals that have grown to seconds, and all calls
     * on the same connection wait for that. If one connection has stalled, all older ones are assumed to have stalled
     * too.
     */
    void closeReadyBefore(BootTime time);

    /** Closes all connections except the one to @p address. */
    void keepOnly(const std::string &address);

private:
    loop::EventLoop &loop;
    std::map<std::string, ReplicaConnection> connections;
};

} // namespace bergamotweir::rpc
