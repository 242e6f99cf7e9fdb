#pragma once

#include "control.grpc.pb.h"
#include "loop/EventLoop.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

namespace grpc {
class Server;
}

namespace bergamotweir::rpc {

/**
 * The gRPC endpoint of a control replica for operators.
 * Its server starts with the first connection, so a replica that no operator has called runs no thread of gRPC. Owned
 * by ControlService; its methods must be called on the loop's thread.
 */
class OperatorService : public wire::Control::Service
{
public:
    /** Answers a request exactly once, on the loop's thread. */
    using Handler = std::function<void(const wire::OperatorRequest &, std::function<void(wire::OperatorReply)>)>;

    /** @param loop outlives the service @param handler called on the loop's thread with each request */
    OperatorService(loop::EventLoop &loop, Handler handler);
    /** Ends all calls; the handler doesn't run after this. */
    ~OperatorService() override;

    /** Takes over an accepted connection. @param descriptor connected and non-blocking */
    void adopt(int descriptor);

private:
    /** State shared with the calls and with tasks of the loop. */
    struct Shared {
        std::mutex mutex;
        std::condition_variable changed;
        bool stopped = false;
    };

    /** Runs on a thread of gRPC; waits until the loop has answered. */
    grpc::Status
    Operate(grpc::ServerContext *context, const wire::OperatorRequest *request, wire::OperatorReply *reply) override;

    loop::EventLoop &loop;
    const std::shared_ptr<Handler> handler;
    const std::shared_ptr<Shared> shared = std::make_shared<Shared>();
    std::unique_ptr<grpc::Server> server;
};

} // namespace bergamotweir::rpc
