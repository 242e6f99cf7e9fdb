#pragma once

#include <memory>
#include <string>

namespace grpc {
class Channel;
}

namespace bergamotweir::rpc {

/** The largest message that any endpoint between the system's processes accepts. */
constexpr int MaxMessageBytes = 16 * 1024 * 1024;

/**
 * Opens a channel to another process of the system; connects when first used.
 * Plain TCP to one address: no resolver, proxy or load balancing of the library takes part.
 * @param address IP:port
 * @return the channel, shared by all calls to that address
 */
std::shared_ptr<grpc::Channel> openChannel(const std::string &address);

} // namespace bergamotweir::rpc
