#pragma once

#include "rpc/ReplicaConnection.h"

#include <map>
#include <string>
#include <vector>

namespace bergamotweir::rpc {

/** A client's connections to the control replicas, set up at the same time; used on the loop's thread. */
class ReplicaConnections
{
public:
    /** Interval at which a client that waits for a connection looks whether one is ready. */
    static constexpr std::chrono::milliseconds PollInterval{5};

    /** Sets up the connections to all of them that don't exist yet. @param addresses IP:port each */
    void setUp(const std::vector<std::string> &addresses, BootTime now);

    /** @return the stub of the replica at @p address; nullptr as long as its connection isn't ready */
    std::shared_ptr<wire::Control::Stub> ready(const std::string &address, BootTime now);

    /** @return how long setting up the connection to @p address took; 0 when there is none that is ready */
    std::chrono::nanoseconds setUpTime(const std::string &address) const;

    /** @return how long an answer over the connection to @p address may take, by its set-up; 2 s at most */
    std::chrono::nanoseconds answerTime(const std::string &address) const;

    /**
     * Closes the connections that were ready at @p time, for new ones to take their place.
     * After a partition, TCP retransmits what was sent during it only at intervals that have grown to seconds, and all
     * calls on the same connection wait behind that. One stalled connection is taken as a sign for all that are older.
     */
    void dropReadyBefore(BootTime time);

    /** Closes all connections but the one to @p address. */
    void keepOnly(const std::string &address);

private:
    ChannelPoller poller;
    std::map<std::string, ReplicaConnection> connections;
};

} // namespace bergamotweir::rpc
