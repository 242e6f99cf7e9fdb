#include "rpc/Channel.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

#include <chrono>

namespace bergamotweir::rpc {

namespace {

// A process that restarts must be found again well inside a lease.
constexpr std::chrono::milliseconds FirstReconnect{20};
constexpr std::chrono::milliseconds LongestReconnect{200};

} // namespace

std::shared_ptr<grpc::Channel> openChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, static_cast<int>(FirstReconnect.count()));
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, static_cast<int>(LongestReconnect.count()));
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, static_cast<int>(LongestReconnect.count()));
    // A connection belongs to one user of it: a stalled stream must not hold up another one's.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetMaxReceiveMessageSize(MaxMessageBytes);
    arguments.SetMaxSendMessageSize(MaxMessageBytes);
    return grpc::CreateCustomChannel("ipv4:" + address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace bergamotweir::rpc
