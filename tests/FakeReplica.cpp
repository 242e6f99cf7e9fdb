#include "FakeReplica.h"

#include "rpc/Channel.h"

#include <utility>

namespace bergamotweir::test {

FakeReplica::FakeReplica()
    : loop(std::move(loop::EventLoop::create().value()))
{
    this->operators = std::make_unique<rpc::OperatorService>(
        *this->loop, [this](const wire::OperatorRequest &, const std::function<void(wire::OperatorReply)> &done) {
            if (this->silent) {
                return;
            }
            wire::OperatorReply reply;
            reply.set_status(this->leader.empty() ? wire::OPERATOR_STATUS_DONE : wire::OPERATOR_STATUS_NOT_LEADER);
            reply.set_leader_address(this->leader);
            done(reply);
        });
    this->server = std::move(rpc::FrameServer::listen(*this->loop,
                                                      {.address = "127.0.0.1", .maxFrameBytes = rpc::MaxMessageBytes},
                                                      {.accepted =
                                                           [this](std::shared_ptr<rpc::FrameSocket> socket) {
                                                               this->accepted(std::move(socket));
                                                           },
                                                       .http2 =
                                                           [this](int descriptor) {
                                                               this->operators->adopt(descriptor);
                                                           }})
                                 .value());
    this->thread = std::thread([this] {
        this->loop->run();
    });
}

FakeReplica::~FakeReplica()
{
    this->loop->stop();
    this->thread.join();
    for (const auto &[key, socket] : this->sockets) {
        socket->close();
    }
}

std::string FakeReplica::address() const
{
    return "127.0.0.1:" + std::to_string(this->server->port());
}

void FakeReplica::accepted(std::shared_ptr<rpc::FrameSocket> socket)
{
    ++this->connections;
    rpc::FrameSocket *const key = socket.get();
    socket->setEvents({.frame =
                           [this, weak = std::weak_ptr<rpc::FrameSocket>(socket)](std::string_view payload) {
                               wire::AgentMessage message;
                               message.ParseFromArray(payload.data(), static_cast<int>(payload.size()));
                               this->received(weak.lock(), message);
                           },
                       .closed =
                           [this, key] {
                               this->sockets.erase(key);
                           }});
    this->sockets[key] = std::move(socket);
}

void FakeReplica::received(const std::shared_ptr<rpc::FrameSocket> &socket, const wire::AgentMessage &message)
{
    this->sessions += message.has_hello() ? 1 : 0;
    if (message.has_claim_call()) {
        this->answerClaim(*socket, message.claim_call());
        return;
    }
    if (this->silent) {
        return;
    }
    const bool hasDelay = this->stateDelay.count() != 0 || this->stateSendTime.count() != 0;
    const bool isAccepted = message.has_hello() && (hasDelay || this->silentAfterAcceptance);
    if (!isAccepted) {
        this->answer(*socket, message);
        return;
    }
    wire::ControlMessage accepted;
    accepted.mutable_accepted();
    const rpc::Frame acceptance = rpc::makeFrame(accepted);
    socket->send(acceptance);
    if (this->silentAfterAcceptance) {
        return;
    }
    if (this->stateSendTime.count() != 0) {
        this->sendSlowly(socket);
        return;
    }
    constexpr std::chrono::milliseconds AcceptanceInterval{100};
    for (auto delay = AcceptanceInterval; delay < this->stateDelay; delay += AcceptanceInterval) {
        this->loop->after(delay, [socket, acceptance] {
            socket->send(acceptance);
        });
    }
    this->loop->after(this->stateDelay, [this, socket, message] {
        this->answer(*socket, message);
    });
}

void FakeReplica::answer(rpc::FrameSocket &socket, const wire::AgentMessage &message) const
{
    wire::ControlMessage answer;
    if (!this->leader.empty()) {
        answer.mutable_redirect()->set_leader_address(this->leader);
    } else {
        answer.mutable_renewed()->set_sequence(message.has_renew() ? message.renew().sequence() : 0);
    }
    socket.send(rpc::makeFrame(answer));
    if (this->closesAfterAnswer) {
        socket.closeWhenSent();
    }
}

void FakeReplica::sendSlowly(const std::shared_ptr<rpc::FrameSocket> &socket)
{
    constexpr int Pieces = 30;
    constexpr std::size_t PieceBytes = 100;
    wire::ControlMessage state;
    state.mutable_update()->mutable_table()->set_csv(std::string(Pieces * PieceBytes, 'x'));
    const std::string bytes = *rpc::makeFrame(state);
    for (std::size_t begin = 0; begin < bytes.size(); begin += PieceBytes) {
        const auto piece = std::make_shared<const std::string>(bytes.substr(begin, PieceBytes));
        this->loop->after(this->stateSendTime * begin / bytes.size(), [socket, piece] {
            socket->send(piece);
        });
    }
}

void FakeReplica::answerClaim(rpc::FrameSocket &socket, const wire::ClaimCall &call)
{
    ++this->claims;
    wire::ControlMessage message;
    message.mutable_claim_answer()->set_id(call.id());
    wire::ClaimReply &reply = *message.mutable_claim_answer()->mutable_claim();
    reply.set_verdict(this->leader.empty() ? wire::CLAIM_VERDICT_GRANTED : wire::CLAIM_VERDICT_UNAVAILABLE);
    reply.set_leader_address(this->leader);
    socket.send(rpc::makeFrame(message));
}

} // namespace bergamotweir::test
