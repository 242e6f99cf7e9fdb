#include "rpc/Channel.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

#include <chrono>

namespace bergamotweir::rpc {

namespace {

void setMillis(grpc::ChannelArguments &arguments, const char *name, std::chrono::milliseconds value)
{
    arguments.SetInt(name, static_cast<int>(value.count()));
}

} // namespace

std::shared_ptr<grpc::Channel> openChannel(const std::string &address, const ChannelSettings &settings)
{
    grpc::ChannelArguments arguments;
    setMillis(arguments, GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, settings.minReconnectBackoff);
    setMillis(arguments, GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, settings.connectTimeout);
    setMillis(arguments, GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, settings.maxReconnectBackoff);
    if (settings.ping.count() > 0) {
        setMillis(arguments, GRPC_ARG_KEEPALIVE_TIME_MS, settings.ping);
        setMillis(arguments, GRPC_ARG_KEEPALIVE_TIMEOUT_MS, settings.pingTimeout);
        arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    }
    // Each channel has its own connection, so that a stalled stream does not block the streams of other channels.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetMaxReceiveMessageSize(settings.maxMessageBytes);
    arguments.SetMaxSendMessageSize(settings.maxMessageBytes);
    return grpc::CreateCustomChannel("ipv4:" + address, grpc::InsecureChannelCredentials(), arguments);
}

} // namespace bergamotweir::rpc
