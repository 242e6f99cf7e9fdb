#pragma once

#include <chrono>
#include <memory>
#include <string>

namespace grpc {
class Channel;
}

namespace bergamotweir::rpc {

/** Maximum size of a message, in bytes, between processes of the system. */
constexpr int MaxMessageBytes = 16 * 1024 * 1024;

/** Limits and time-outs of a channel. */
struct ChannelSettings {
    int maxMessageBytes = MaxMessageBytes;
    std::chrono::milliseconds connectTimeout{200};
    /** Low enough that a restarted process is reached again well within the duration of a lease. */
    std::chrono::milliseconds minReconnectBackoff{20};
    std::chrono::milliseconds maxReconnectBackoff{200};
    /** Interval between pings on an idle connection; 0 disables them. */
    std::chrono::milliseconds ping{0};
    std::chrono::milliseconds pingTimeout{1000};
};

/**
 * Opens a channel to another process of the system; it connects when first used.
 * Uses plain TCP to a single address, without gRPC's name resolution, proxies and load balancing.
 * @param address IP:port
 * @param settings limits and time-outs
 * @return the channel, which does not share its connection; its last reference must not be released on one of gRPC's
 *         threads
 */
std::shared_ptr<grpc::Channel> openChannel(const std::string &address, const ChannelSettings &settings = {});

} // namespace bergamotweir::rpc
