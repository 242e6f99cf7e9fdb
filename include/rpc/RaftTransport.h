#pragma once

#include "base/Result.h"
#include "raft.pb.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bergamotweir::loop {
class EventLoop;
}

namespace bergamotweir::rpc {

/** Where a replica listens. */
struct RaftTransportSettings {
    /** IP. */
    std::string address;
    /** 0 takes a port of the kernel's choice. */
    std::uint16_t port = 0;
};

/**
 * Carries messages between replicas over gRPC, one stream for each direction and pair.
 * Messages may be lost, never changed. Queues are bounded; a broken stream drops what was queued, as consensus sends
 * again what still matters. Owned by ReplicaNode; all methods are for the loop's thread.
 */
class RaftTransport
{
public:
    /** Largest message taken or sent. */
    static constexpr std::size_t MaxMessageBytes = std::size_t{8} * 1024 * 1024;

    /**
     * @param loop outlives the transport
     * @param settings where to listen
     * @param received called on the loop's thread for each message
     * @return the listening transport, or why it can't listen
     */
    static Result<std::unique_ptr<RaftTransport>> open(loop::EventLoop &loop,
                                                       const RaftTransportSettings &settings,
                                                       std::function<void(const wire::RaftMessage &)> received);

    ~RaftTransport();
    RaftTransport(const RaftTransport &) = delete;
    RaftTransport &operator=(const RaftTransport &) = delete;

    /** Queues a message; may drop it or older ones. @param address IP:port */
    void send(const std::string &address, wire::RaftMessage message);

    /** @return the port listened on */
    std::uint16_t port() const;

private:
    struct Parts;
    explicit RaftTransport(std::unique_ptr<Parts> parts);
    std::unique_ptr<Parts> parts;
};

} // namespace bergamotweir::rpc
