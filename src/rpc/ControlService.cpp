#include "rpc/ControlService.h"

#include "loop/EventLoop.h"
#include "loop/Log.h"
#include "rpc/Channel.h"
#include "rpc/FrameServer.h"
#include "rpc/OperatorService.h"
#include "rpc/PackedMessage.h"

#include <chrono>
#include <map>
#include <utility>
#include <vector>

namespace bergamotweir::rpc {

namespace {

/** Maximum number of bytes queued for one agent, above which its session is closed; larger than a full state. */
constexpr std::size_t MaxQueuedBytes = std::size_t{4} * MaxMessageBytes;

/** Maximum numbers of connections and of claims in progress; above them a replica is overloaded. Each uses memory. */
constexpr std::size_t MaxConnections = 32768;
constexpr std::size_t MaxClaims = 16384;

/** Agents renew their leases several times a second, so a connection that is silent for longer has been lost. */
constexpr std::chrono::seconds MaxSessionSilence{10};
/** A connection without a session may be used for claims at any time. */
constexpr std::chrono::seconds MaxIdleTime{60};
constexpr std::chrono::seconds SweepInterval{2};

/**
 * Minimum size in bytes of messages that are compressed, such as full states: these mostly consist of recurring names,
 * and the bandwidth of an agent's link may be as low as 2 Mbit/s. Smaller messages are frequent and would shrink
 * little.
 */
constexpr std::size_t MinPackedBytes = 4096;

constexpr loop::Log Log("session");

/** The connection of an agent. */
struct Connection {
    std::shared_ptr<FrameSocket> socket;
    /** The session on it; 0 when there is none. */
    std::uint64_t session = 0;
};

} // namespace

struct ControlService::Parts {
    using ConnectionId = std::uint64_t;

    Parts(loop::EventLoop &loop, ControlServiceEvents events)
        : loop(loop)
        , events(std::move(events))
        , operators(loop, this->events.operate)
    {
    }

    ~Parts()
    {
        this->loop.cancel(this->sweepTimer);
        for (const auto &[id, connection] : this->connections) {
            connection.socket->close();
        }
    }

    Parts(const Parts &) = delete;
    Parts &operator=(const Parts &) = delete;

    void accepted(std::shared_ptr<FrameSocket> socket);
    void received(ConnectionId id, std::string_view payload);
    void receivedClaim(ConnectionId id, const wire::ClaimCall &call);
    void answerClaim(ConnectionId id, const wire::ClaimAnswer &answer);
    void open(ConnectionId id, const wire::Hello &hello);
    void endSession(Connection &connection);
    void drop(ConnectionId id, const char *why);
    void dropSilent();
    Frame frameOf(const std::shared_ptr<const wire::ControlMessage> &message);

    loop::EventLoop &loop;
    ControlServiceEvents events;
    OperatorService operators;
    std::unique_ptr<FrameServer> server;
    loop::TimerId sweepTimer = 0;
    std::map<ConnectionId, Connection> connections;
    ConnectionId lastConnection = 0;
    std::map<std::uint64_t, ConnectionId> sessions;
    std::uint64_t lastSession = 0;
    std::size_t claimsInProgress = 0;
    /** The large message that was packed last: the same one is sent on many sessions, between smaller messages. */
    std::weak_ptr<const wire::ControlMessage> lastPacked;
    Frame lastPackedFrame;
    /** The message that was made a frame last: updates are sent on all sessions in a row. */
    std::weak_ptr<const wire::ControlMessage> lastMessage;
    Frame lastFrame;
    /** Expired once the service has been destroyed. */
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

void ControlService::Parts::accepted(std::shared_ptr<FrameSocket> socket)
{
    if (this->connections.size() >= MaxConnections) {
        Log.event(loop::LogLevel::Warn, "connection closed").with("why", "too many connections");
        socket->close();
        return;
    }
    const ConnectionId id = ++this->lastConnection;
    socket->setEvents({.frame =
                           [this, id](std::string_view payload) {
                               this->received(id, payload);
                           },
                       .closed =
                           [this, id] {
                               this->drop(id, nullptr);
                           }});
    this->connections[id].socket = std::move(socket);
}

void ControlService::Parts::received(ConnectionId id, std::string_view payload)
{
    wire::AgentMessage message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        this->drop(id, "a message cannot be decoded");
        return;
    }
    if (message.has_hello()) {
        this->open(id, message.hello());
    } else if (message.has_claim_call()) {
        this->receivedClaim(id, message.claim_call());
    } else if (const std::uint64_t session = this->connections.at(id).session; session != 0) {
        this->events.message(session, message);
    }
}

void ControlService::Parts::open(ConnectionId id, const wire::Hello &hello)
{
    Connection &connection = this->connections.at(id);
    this->endSession(connection);
    connection.session = ++this->lastSession;
    this->sessions[connection.session] = id;
    this->events.opened(connection.session, hello);
}

void ControlService::Parts::receivedClaim(ConnectionId id, const wire::ClaimCall &call)
{
    wire::ClaimAnswer answer;
    answer.set_id(call.id());
    if (this->claimsInProgress >= MaxClaims) {
        if (call.has_claim()) {
            answer.mutable_claim()->set_verdict(wire::CLAIM_VERDICT_UNAVAILABLE);
        } else {
            answer.mutable_outcome()->set_recorded(false);
        }
        this->answerClaim(id, answer);
        return;
    }
    ++this->claimsInProgress;
    const auto finish = [this, id, aliveToken = std::weak_ptr<bool>(this->alive)](const wire::ClaimAnswer &finished) {
        if (!aliveToken.expired()) {
            --this->claimsInProgress;
            this->answerClaim(id, finished);
        }
    };
    if (call.has_claim()) {
        this->events.claim(call.claim(), [answer, finish](wire::ClaimReply reply) mutable {
            *answer.mutable_claim() = std::move(reply);
            finish(answer);
        });
    } else {
        this->events.recordOutcome(call.outcome(), [answer, finish](wire::OutcomeReply reply) mutable {
            *answer.mutable_outcome() = std::move(reply);
            finish(answer);
        });
    }
}

void ControlService::Parts::answerClaim(ConnectionId id, const wire::ClaimAnswer &answer)
{
    const auto found = this->connections.find(id);
    if (found != this->connections.end()) {
        wire::ControlMessage message;
        *message.mutable_claim_answer() = answer;
        found->second.socket->send(makeFrame(message));
    }
}

void ControlService::Parts::endSession(Connection &connection)
{
    const std::uint64_t session = std::exchange(connection.session, 0);
    if (session != 0) {
        this->sessions.erase(session);
        this->events.closed(session);
    }
}

/** Closes a connection and ends its session. @param why reason for the log; nullptr if the agent closed it */
void ControlService::Parts::drop(ConnectionId id, const char *why)
{
    Connection dropped = this->connections.extract(id).mapped();
    if (why != nullptr) {
        Log.event(loop::LogLevel::Warn, "connection closed").with("why", why).with("session", dropped.session);
    }
    dropped.socket->close();
    this->endSession(dropped);
}

/** Closes connections whose VM was lost without a reset. */
void ControlService::Parts::dropSilent()
{
    const BootTime now = BootClock::now();
    std::vector<ConnectionId> silent;
    for (const auto &[id, connection] : this->connections) {
        const auto limit = connection.session != 0 ? MaxSessionSilence : MaxIdleTime;
        if (now - connection.socket->lastReceivedAt() > limit) {
            silent.push_back(id);
        }
    }
    for (const ConnectionId id : silent) {
        this->drop(id, "silent");
    }
}

/** @return the frame of @p message, or of its packed form if it is large; shared by all sessions */
Frame ControlService::Parts::frameOf(const std::shared_ptr<const wire::ControlMessage> &message)
{
    if (this->lastMessage.lock() == message) {
        return this->lastFrame;
    }
    if (this->lastPacked.lock() == message) {
        return this->lastPackedFrame;
    }
    const bool isLarge = message->ByteSizeLong() >= MinPackedBytes;
    const std::shared_ptr<const wire::ControlMessage> packed = isLarge ? pack(*message) : nullptr;
    Frame frame = makeFrame(packed == nullptr ? *message : *packed);
    (isLarge ? this->lastPacked : this->lastMessage) = message;
    (isLarge ? this->lastPackedFrame : this->lastFrame) = frame;
    return frame;
}

Result<std::unique_ptr<ControlService>> ControlService::listen(loop::EventLoop &loop,
                                                               const std::string &address,
                                                               std::uint16_t port,
                                                               ControlServiceEvents events)
{
    auto parts = std::make_unique<Parts>(loop, std::move(events));
    Result<std::unique_ptr<FrameServer>> server =
        FrameServer::listen(loop,
                            {.address = address, .port = port, .maxFrameBytes = MaxMessageBytes},
                            {.accepted =
                                 [parts = parts.get()](std::shared_ptr<FrameSocket> socket) {
                                     parts->accepted(std::move(socket));
                                 },
                             .http2 =
                                 [parts = parts.get()](int descriptor) {
                                     parts->operators.adopt(descriptor);
                                 }});
    if (!server) {
        return oneFinding("control port", server.error().front().message, "a free port");
    }
    parts->server = std::move(server).value();
    parts->sweepTimer = loop.every(SweepInterval, [parts = parts.get()] {
        parts->dropSilent();
    });
    return std::unique_ptr<ControlService>(new ControlService(std::move(parts)));
}

ControlService::ControlService(std::unique_ptr<Parts> parts)
    : parts(std::move(parts))
{
}

ControlService::~ControlService() = default;

std::uint16_t ControlService::port() const
{
    return this->parts->server->port();
}

void ControlService::send(std::uint64_t session, const std::shared_ptr<const wire::ControlMessage> &message)
{
    const auto found = this->parts->sessions.find(session);
    if (found == this->parts->sessions.end()) {
        return;
    }
    const Parts::ConnectionId id = found->second;
    FrameSocket &socket = *this->parts->connections.at(id).socket;
    socket.send(this->parts->frameOf(message));
    if (socket.queuedBytes() > MaxQueuedBytes) {
        this->parts->drop(id, "the agent does not read");
    }
}

void ControlService::close(std::uint64_t session)
{
    const auto found = this->parts->sessions.find(session);
    if (found != this->parts->sessions.end()) {
        this->parts->endSession(this->parts->connections.at(found->second));
    }
}

} // namespace bergamotweir::rpc
