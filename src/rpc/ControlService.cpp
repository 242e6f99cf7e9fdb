#include "rpc/ControlService.h"

#include "control.grpc.pb.h"
#include "loop/EventLoop.h"
#include "rpc/Channel.h"
#include "rpc/PackedMessage.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace bergamotweir::rpc {

namespace {

/** Maximum number of bytes queued for one agent, above which its session is closed; larger than a full state. */
constexpr std::size_t MaxQueuedBytes = std::size_t{4} * MaxMessageBytes;

/** Interval and time-out of HTTP/2 pings, which detect a VM that was lost without closing its connections. */
constexpr int KeepaliveMs = 5000;

/** Maximum numbers of sessions and of unary calls in progress; above them a replica is overloaded. Each uses memory. */
constexpr std::size_t MaxSessions = 16384;
constexpr std::size_t MaxCalls = 16384;

constexpr std::chrono::milliseconds ShutdownTimeout{200};

/**
 * Minimum size in bytes of messages that are compressed, such as full states: these mostly consist of recurring names,
 * and the bandwidth of an agent's link may be as low as 2 Mbit/s. Smaller messages are frequent and would shrink
 * little.
 */
constexpr std::size_t MinPackedBytes = 4096;

using OutgoingMessage = std::shared_ptr<const wire::ControlMessage>;

/** The gRPC stream of one session. Its callbacks run on gRPC's threads; it deletes itself in OnDone(). */
class SessionStream : public grpc::ServerBidiReactor<wire::AgentMessage, wire::ControlMessage>
{
public:
    struct Handlers {
        std::function<void(SessionStream *, wire::AgentMessage)> received;
        std::function<void(SessionStream *)> done;
    };

    explicit SessionStream(Handlers handlers)
        : handlers(std::move(handlers))
    {
    }

    /** Reads the next message; called once the previous one has been handled. */
    void readNext()
    {
        const std::lock_guard guard(this->mutex);
        if (!this->finished) {
            this->StartRead(&this->incoming);
        }
    }

    void send(OutgoingMessage message)
    {
        const std::lock_guard guard(this->mutex);
        if (this->closing) {
            return;
        }
        this->queuedBytes += message->ByteSizeLong();
        this->queue.push_back(std::move(message));
        if (this->queuedBytes > MaxQueuedBytes) {
            this->finish(grpc::Status(grpc::StatusCode::RESOURCE_EXHAUSTED, "the agent does not read"));
            return;
        }
        this->writeNext();
    }

    void close()
    {
        const std::lock_guard guard(this->mutex);
        this->closing = true;
        this->writeNext();
    }

    void abort()
    {
        const std::lock_guard guard(this->mutex);
        this->finish(grpc::Status(grpc::StatusCode::UNAVAILABLE, "stopping"));
    }

    void OnReadDone(bool ok) override
    {
        if (ok) {
            this->handlers.received(this, std::move(this->incoming));
            return;
        }
        const std::lock_guard guard(this->mutex);
        this->finish(grpc::Status::OK);
    }

    void OnWriteDone(bool ok) override
    {
        const std::lock_guard guard(this->mutex);
        this->writing = false;
        if (!ok) {
            this->finish(grpc::Status::OK);
            return;
        }
        this->queuedBytes -= this->queue.front()->ByteSizeLong();
        this->queue.pop_front();
        this->writeNext();
    }

    void OnCancel() override
    {
        const std::lock_guard guard(this->mutex);
        this->finish(grpc::Status::CANCELLED);
    }

    void OnDone() override
    {
        this->handlers.done(this);
        delete this;
    }

private:
    void writeNext()
    {
        if (this->finished || this->writing) {
            return;
        }
        if (!this->queue.empty()) {
            this->writing = true;
            this->StartWrite(this->queue.front().get());
        } else if (this->closing) {
            this->finish(grpc::Status::OK);
        }
    }

    void finish(const grpc::Status &status)
    {
        this->closing = true;
        if (!this->finished) {
            this->finished = true;
            this->Finish(status);
        }
    }

    const Handlers handlers;
    std::mutex mutex;
    wire::AgentMessage incoming;
    std::deque<OutgoingMessage> queue;
    std::size_t queuedBytes = 0;
    bool writing = false;
    bool closing = false;
    bool finished = false;
};

/** One unary call in progress. Finished exactly once: with its answer, or with an error when the service stops. */
template<typename Reply>
struct PendingCall {
    grpc::ServerUnaryReactor *reactor = nullptr;
    Reply *reply = nullptr;

    void answer(Reply value)
    {
        if (this->reactor != nullptr) {
            *this->reply = std::move(value);
            std::exchange(this->reactor, nullptr)->Finish(grpc::Status::OK);
        }
    }

    void fail()
    {
        if (this->reactor != nullptr) {
            std::exchange(this->reactor, nullptr)->Finish(grpc::Status(grpc::StatusCode::UNAVAILABLE, "stopping"));
        }
    }
};

} // namespace

/** State shared with tasks posted to the loop, which may run after the service has been destroyed. */
struct ControlService::Parts : wire::Control::CallbackService, std::enable_shared_from_this<ControlService::Parts> {
    struct OpenStream {
        SessionStream *stream = nullptr;
        bool opened = false;
    };

    loop::EventLoop *loop = nullptr;
    ControlServiceEvents events;
    std::unique_ptr<grpc::Server> server;
    int boundPort = 0;
    /** Guards the members below, as streams start and end on gRPC's threads. */
    std::mutex mutex;
    bool stopped = false;
    std::uint64_t lastSession = 0;
    std::map<std::uint64_t, OpenStream> sessions;
    std::map<std::uint64_t, std::function<void()>> pendingCalls;
    std::uint64_t lastCall = 0;
    /** The message that was packed last: the same message is often sent to many sessions in a row. */
    std::weak_ptr<const wire::ControlMessage> lastUnpacked;
    OutgoingMessage lastPacked;

    /** @return the message to write: @p message itself, or, if it is large, its packed form, shared by all sessions */
    OutgoingMessage packForSending(const OutgoingMessage &message)
    {
        if (message->ByteSizeLong() < MinPackedBytes) {
            return message;
        }
        if (this->lastUnpacked.lock() != message) {
            this->lastUnpacked = message;
            this->lastPacked = pack(*message);
        }
        return this->lastPacked == nullptr ? message : this->lastPacked;
    }

    grpc::ServerBidiReactor<wire::AgentMessage, wire::ControlMessage> *Session(grpc::CallbackServerContext *) override;
    grpc::ServerUnaryReactor *
    Claim(grpc::CallbackServerContext *context, const wire::ClaimRequest *request, wire::ClaimReply *reply) override
    {
        return this->call(context, request, reply, &ControlServiceEvents::claim);
    }

    grpc::ServerUnaryReactor *RecordOutcome(grpc::CallbackServerContext *context,
                                            const wire::ClaimOutcome *request,
                                            wire::OutcomeReply *reply) override
    {
        return this->call(context, request, reply, &ControlServiceEvents::recordOutcome);
    }

    grpc::ServerUnaryReactor *Operate(grpc::CallbackServerContext *context,
                                      const wire::OperatorRequest *request,
                                      wire::OperatorReply *reply) override
    {
        return this->call(context, request, reply, &ControlServiceEvents::operate);
    }

    void received(std::uint64_t session, const wire::AgentMessage &message);
    void ended(std::uint64_t session);

    template<typename Request, typename Reply>
    grpc::ServerUnaryReactor *
    call(grpc::CallbackServerContext *context,
         const Request *request,
         Reply *reply,
         std::function<void(const Request &, std::function<void(Reply)>)> ControlServiceEvents::*handler);
};

grpc::ServerBidiReactor<wire::AgentMessage, wire::ControlMessage> *
ControlService::Parts::Session(grpc::CallbackServerContext *)
{
    const std::lock_guard guard(this->mutex);
    const std::uint64_t sessionId = ++this->lastSession;
    SessionStream::Handlers handlers;
    const std::weak_ptr<Parts> weak = this->weak_from_this();
    handlers.received = [weak, sessionId](SessionStream *, wire::AgentMessage message) {
        if (const std::shared_ptr<Parts> parts = weak.lock(); parts != nullptr) {
            parts->loop->post([weak, sessionId, message = std::move(message)] {
                if (const std::shared_ptr<Parts> alive = weak.lock(); alive != nullptr) {
                    alive->received(sessionId, message);
                }
            });
        }
    };
    handlers.done = [weak, sessionId](SessionStream *) {
        if (const std::shared_ptr<Parts> parts = weak.lock(); parts != nullptr) {
            parts->ended(sessionId);
        }
    };
    auto *const stream = new SessionStream(std::move(handlers));
    this->sessions[sessionId].stream = stream;
    if (this->stopped || this->sessions.size() > MaxSessions) {
        stream->abort();
    }
    stream->readNext();
    return stream;
}

void ControlService::Parts::received(std::uint64_t session, const wire::AgentMessage &message)
{
    bool isFirstMessage = false;
    {
        const std::lock_guard guard(this->mutex);
        const auto found = this->sessions.find(session);
        if (this->stopped || found == this->sessions.end()) {
            return;
        }
        isFirstMessage = !std::exchange(found->second.opened, true);
        if (isFirstMessage && !message.has_hello()) {
            found->second.stream->close();
            return;
        }
    }
    if (isFirstMessage) {
        this->events.opened(session, message.hello());
    } else {
        this->events.message(session, message);
    }
    const std::lock_guard guard(this->mutex);
    const auto found = this->sessions.find(session);
    if (found != this->sessions.end()) {
        found->second.stream->readNext();
    }
}

void ControlService::Parts::ended(std::uint64_t session)
{
    const std::lock_guard guard(this->mutex);
    const auto found = this->sessions.find(session);
    const bool shouldNotify = found->second.opened && !this->stopped;
    this->sessions.erase(found);
    if (shouldNotify) {
        this->loop->post([weak = this->weak_from_this(), session] {
            if (const std::shared_ptr<Parts> parts = weak.lock(); parts != nullptr && !parts->stopped) {
                parts->events.closed(session);
            }
        });
    }
}

template<typename Request, typename Reply>
grpc::ServerUnaryReactor *ControlService::Parts::call(
    grpc::CallbackServerContext *context,
    const Request *request,
    Reply *reply,
    std::function<void(const Request &, std::function<void(Reply)>)> ControlServiceEvents::*handler)
{
    grpc::ServerUnaryReactor *const reactor = context->DefaultReactor();
    const auto pending = std::make_shared<PendingCall<Reply>>();
    pending->reactor = reactor;
    pending->reply = reply;
    const std::lock_guard guard(this->mutex);
    if (this->stopped || this->pendingCalls.size() >= MaxCalls) {
        pending->fail();
        return reactor;
    }
    const std::uint64_t callId = ++this->lastCall;
    this->pendingCalls[callId] = [pending] {
        pending->fail();
    };
    this->loop->post([weak = this->weak_from_this(), pending, callId, request = *request, handler] {
        const std::shared_ptr<Parts> parts = weak.lock();
        if (parts == nullptr || pending->reactor == nullptr) {
            return;
        }
        (parts->events.*handler)(request, [weak, pending, callId](Reply value) {
            const std::shared_ptr<Parts> alive = weak.lock();
            if (alive == nullptr) {
                return;
            }
            const std::lock_guard lock(alive->mutex);
            alive->pendingCalls.erase(callId);
            pending->answer(std::move(value));
        });
    });
    return reactor;
}

Result<std::unique_ptr<ControlService>> ControlService::listen(loop::EventLoop &loop,
                                                               const std::string &address,
                                                               std::uint16_t port,
                                                               ControlServiceEvents events)
{
    auto parts = std::make_shared<Parts>();
    parts->loop = &loop;
    parts->events = std::move(events);
    grpc::ServerBuilder builder;
    const std::string endpoint = address + ":" + std::to_string(port);
    builder.AddListeningPort(endpoint, grpc::InsecureServerCredentials(), &parts->boundPort);
    builder.SetMaxReceiveMessageSize(MaxMessageBytes);
    builder.SetMaxSendMessageSize(MaxMessageBytes);
    // A second replica on the same port must fail to start, not share the port.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveMs);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepaliveMs);
    builder.RegisterService(parts.get());
    parts->server = builder.BuildAndStart();
    if (parts->server == nullptr || parts->boundPort == 0) {
        return oneFinding("control port", "could not listen on " + endpoint, "a free port");
    }
    return std::unique_ptr<ControlService>(new ControlService(std::move(parts)));
}

ControlService::ControlService(std::shared_ptr<Parts> parts)
    : parts(std::move(parts))
{
}

ControlService::~ControlService()
{
    {
        const std::lock_guard guard(this->parts->mutex);
        this->parts->stopped = true;
        for (const auto &[sessionId, session] : this->parts->sessions) {
            session.stream->abort();
        }
        for (const auto &[callId, fail] : this->parts->pendingCalls) {
            fail();
        }
        this->parts->pendingCalls.clear();
    }
    this->parts->server->Shutdown(std::chrono::system_clock::now() + ShutdownTimeout);
    this->parts->server.reset();
}

std::uint16_t ControlService::port() const
{
    return static_cast<std::uint16_t>(this->parts->boundPort);
}

void ControlService::send(std::uint64_t session, const std::shared_ptr<const wire::ControlMessage> &message)
{
    const std::lock_guard guard(this->parts->mutex);
    const auto found = this->parts->sessions.find(session);
    if (found != this->parts->sessions.end()) {
        found->second.stream->send(this->parts->packForSending(message));
    }
}

void ControlService::close(std::uint64_t session)
{
    const std::lock_guard guard(this->parts->mutex);
    const auto found = this->parts->sessions.find(session);
    if (found != this->parts->sessions.end()) {
        found->second.stream->close();
    }
}

} // namespace bergamotweir::rpc
