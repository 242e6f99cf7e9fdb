#include "rpc/OperatorService.h"

#include "loop/Log.h"
#include "rpc/Channel.h"
#include "rpc/GrpcThreads.h"

#include <grpcpp/resource_quota.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>
#include <grpcpp/server_posix.h>

#include <unistd.h>

#include <chrono>
#include <utility>

namespace bergamotweir::rpc {

namespace {

/** Threads for calls; each call occupies one until it is answered, further calls are refused. */
constexpr int MaxCallThreads = 3;
constexpr std::chrono::milliseconds ShutdownTimeout{200};

constexpr loop::Log Log("operator");

} // namespace

OperatorService::OperatorService(loop::EventLoop &loop, Handler handler)
    : loop(loop)
    , handler(std::make_shared<Handler>(std::move(handler)))
{
}

OperatorService::~OperatorService()
{
    {
        const std::lock_guard guard(this->shared->mutex);
        this->shared->stopped = true;
        this->shared->changed.notify_all();
    }
    if (this->server) {
        this->server->Shutdown(std::chrono::system_clock::now() + ShutdownTimeout);
    }
}

void OperatorService::adopt(int descriptor)
{
    if (!this->server) {
        limitGrpcThreads();
        grpc::ResourceQuota quota;
        quota.SetMaxThreads(MaxCallThreads);
        grpc::ServerBuilder builder;
        builder.SetResourceQuota(quota);
        builder.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, 1);
        builder.SetSyncServerOption(grpc::ServerBuilder::MIN_POLLERS, 1);
        builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, 1);
        builder.SetMaxReceiveMessageSize(MaxMessageBytes);
        builder.SetMaxSendMessageSize(MaxMessageBytes);
        builder.RegisterService(this);
        this->server = builder.BuildAndStart();
    }
    if (!this->server) {
        Log.error("the gRPC server could not be started; an operator's connection is closed");
        ::close(descriptor);
        return;
    }
    grpc::AddInsecureChannelFromFd(this->server.get(), descriptor);
}

grpc::Status
OperatorService::Operate(grpc::ServerContext *context, const wire::OperatorRequest *request, wire::OperatorReply *reply)
{
    struct Answer {
        bool isReady = false;
        wire::OperatorReply reply;
    };
    const auto answer = std::make_shared<Answer>();
    this->loop.post([shared = this->shared, handler = this->handler, answer, request = *request] {
        if (shared->stopped) {
            return;
        }
        (*handler)(request, [shared, answer](wire::OperatorReply value) {
            const std::lock_guard guard(shared->mutex);
            answer->reply = std::move(value);
            answer->isReady = true;
            shared->changed.notify_all();
        });
    });
    std::unique_lock guard(this->shared->mutex);
    this->shared->changed.wait_until(guard, context->deadline(), [&] {
        return answer->isReady || this->shared->stopped;
    });
    if (!answer->isReady) {
        return {grpc::StatusCode::UNAVAILABLE, "not answered in time"};
    }
    *reply = std::move(answer->reply);
    return grpc::Status::OK;
}

} // namespace bergamotweir::rpc
