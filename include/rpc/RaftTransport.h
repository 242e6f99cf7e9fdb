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

/** The address on which a replica listens. */
struct RaftTransportSettings {
    /** IP address. */
    std::string address;
    /** TCP port; 0 lets the kernel choose one. */
    std::uint16_t port = 0;
};

/**
 * Carries messages between replicas over gRPC, one stream for each direction and pair.
 * Messages may be lost but are never changed. Queues are bounded. When a stream breaks, its queue is dropped, as Raft
 * retransmits what is still needed. Owned by ReplicaNode; all methods must be called on the loop's thread.
 */
class RaftTransport
{
public:
    /** Maximum size of a message, in bytes, that is sent or received. */
    static constexpr std::size_t MaxMessageBytes = std::size_t{8} * 1024 * 1024;

    /**
     * @param loop outlives the transport
     * @param settings the address to listen on
     * @param received called on the loop's thread for each message
     * @return the listening transport, or the reason why it can't listen
     */
    static Result<std::unique_ptr<RaftTransport>> open(loop::EventLoop &loop,
                                                       const RaftTransportSettings &settings,
                                                       std::function<void(const wire::RaftMessage &)> received);

    ~RaftTransport();
    RaftTransport(const RaftTransport &) = delete;
    RaftTransport &operator=(const RaftTransport &) = delete;

    /** Queues a message; may drop it or older messages. @param address IP:port of the peer */
    void send(const std::string &address, const wire::RaftMessage &message);

    /** @return the TCP port that the transport listens on */
    std::uint16_t port() const;

private:
    struct Parts;
    explicit RaftTransport(std::unique_ptr<Parts> parts);
    std::unique_ptr<Parts> parts;
};

} // namespace bergamotweir::rpc
