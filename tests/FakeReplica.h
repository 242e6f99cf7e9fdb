#pragma once

#include "control.pb.h"
#include "loop/EventLoop.h"
#include "rpc/FrameServer.h"
#include "rpc/OperatorService.h"

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace bergamotweir::test {

/** A control replica whose behaviour the test sets, on a thread of its own. */
class FakeReplica
{
public:
    FakeReplica();
    ~FakeReplica();
    FakeReplica(const FakeReplica &) = delete;
    FakeReplica &operator=(const FakeReplica &) = delete;

    /** @return IP:port */
    std::string address() const;

    /** Leader that sessions and calls are redirected to; empty if this replica leads. */
    std::string leader;
    /** Delay between the acceptance of the session, which is repeated meanwhile, and the full state. */
    std::chrono::milliseconds stateDelay{0};
    /** Accepts sessions and sends nothing after that, as a leader that is frozen before it sends the full state. */
    std::atomic<bool> silentAfterAcceptance{false};
    /** Time over which the bytes of the full state are sent, as over a slow link. */
    std::chrono::milliseconds stateSendTime{0};
    std::atomic<bool> silent{false};
    std::atomic<bool> closesAfterAnswer{false};
    std::atomic<int> sessions{0};
    std::atomic<int> connections{0};
    std::atomic<int> claims{0};

private:
    void accepted(std::shared_ptr<rpc::FrameSocket> socket);
    void received(const std::shared_ptr<rpc::FrameSocket> &socket, const wire::AgentMessage &message);
    void answer(rpc::FrameSocket &socket, const wire::AgentMessage &message) const;
    void sendSlowly(const std::shared_ptr<rpc::FrameSocket> &socket);
    void answerClaim(rpc::FrameSocket &socket, const wire::ClaimCall &call);

    std::unique_ptr<loop::EventLoop> loop;
    std::unique_ptr<rpc::FrameServer> server;
    std::unique_ptr<rpc::OperatorService> operators;
    std::map<rpc::FrameSocket *, std::shared_ptr<rpc::FrameSocket>> sockets;
    std::thread thread;
};

} // namespace bergamotweir::test
