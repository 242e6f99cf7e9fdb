#pragma once

#include <chrono>
#include <memory>
#include <string>

namespace grpc {
class Channel;
}

namespace bergamotweir::rpc {

/** The largest message that any endpoint between the system's processes accepts. */
constexpr int MaxMessageBytes = 16 * 1024 * 1024;

/** How patient a channel is. */
struct ChannelSettings {
    int maxMessageBytes = MaxMessageBytes;
    std::chrono::milliseconds connectTimeout{200};
    /** A process that restarts must be found again well inside a lease. */
    std::chrono::milliseconds minReconnectBackoff{20};
    std::chrono::milliseconds maxReconnectBackoff{200};
    /** Pings an idle connection so often; 0 for never. */
    std::chrono::milliseconds ping{0};
    std::chrono::milliseconds pingTimeout{1000};
};

/**
 * Opens a channel to another process of the system; connects when first used.
 * Plain TCP to one address: no resolver, proxy or load balancing of the library takes part.
 * @param address IP:port
 * @param settings how patient it is
 * @return the channel, with a connection of its own; its last reference must not go on one of gRPC's threads
 */
std::shared_ptr<grpc::Channel> openChannel(const std::string &address, const ChannelSettings &settings = {});

} // namespace bergamotweir::rpc
