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

/** Bytes waiting to be written to one agent before its session is given up; more than one full state. */
constexpr std::size_t MostQueuedBytes = std::size_t{4} * MaxMessageBytes;

/** A peer that answers no HTTP/2 ping for so long is gone: its VM was lost without a word. */
constexpr int KeepaliveMilliseconds = 5000;

/** Sessions and unary calls in progress; each costs memory, and beyond these a replica could not keep up anyway. */
constexpr std::size_t MostSessions = 16384;
constexpr std::size_t MostCalls = 16384;

constexpr std::chrono::milliseconds ShutdownPatience{200};

/**
 * Messages of this size on, such as full states, are compressed: they are mostly names that recur, and an agent's link
 * may carry no more than 2 Mbit/s. Smaller ones go as they are, as they come often and would gain little.
 */
constexpr std::size_t PackedFrom = 4096;

using Outgoing = std::shared_ptr<const wire::ControlMessage>;

/** One session as gRPC sees it. gRPC calls it on its own threads; it deletes itself when gRPC is done with it. */
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

    /** Reads the next message; called once the one before has been handled. */
    void readNext()
    {
        const std::lock_guard guard(this->mutex);
        if (!this->finished) {
            this->StartRead(&this->incoming);
        }
    }

    void send(Outgoing message)
    {
        const std::lock_guard guard(this->mutex);
        if (this->closing) {
            return;
        }
        this->queuedBytes += message->ByteSizeLong();
        this->queue.push_back(std::move(message));
        if (this->queuedBytes > MostQueuedBytes) {
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
    std::deque<Outgoing> queue;
    std::size_t queuedBytes = 0;
    bool writing = false;
    bool closing = false;
    bool finished = false;
};

/** One unary call that waits for its answer; finished exactly once, by the answer or when the service stops. */
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

    void abandon()
    {
        if (this->reactor != nullptr) {
            std::exchange(this->reactor, nullptr)->Finish(grpc::Status(grpc::StatusCode::UNAVAILABLE, "stopping"));
        }
    }
};

} // namespace

/** Shared with tasks posted to the loop, which may run after the service has stopped. */
struct ControlService::Parts : wire::Control::CallbackService, std::enable_shared_from_this<ControlService::Parts> {
    struct OpenStream {
        SessionStream *stream = nullptr;
        bool opened = false;
    };

    loop::EventLoop *loop = nullptr;
    ControlServiceEvents events;
    std::unique_ptr<grpc::Server> server;
    int boundPort = 0;
    /** Guards the members below: streams start and end on gRPC's threads. */
    std::mutex mutex;
    bool stopped = false;
    std::uint64_t lastSession = 0;
    std::map<std::uint64_t, OpenStream> sessions;
    std::map<std::uint64_t, std::function<void()>> abandons;
    std::uint64_t lastCall = 0;
    /** The message that was packed last, as it goes to many sessions one after the other. */
    std::weak_ptr<const wire::ControlMessage> lastPlain;
    Outgoing lastPacked;

    /** @return what is written for a message: itself, or large ones packed once for all sessions */
    Outgoing packedOnce(const Outgoing &message)
    {
        if (message->ByteSizeLong() < PackedFrom) {
            return message;
        }
        if (this->lastPlain.lock() != message) {
            this->lastPlain = message;
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
    const std::uint64_t name = ++this->lastSession;
    SessionStream::Handlers handlers;
    const std::weak_ptr<Parts> weak = this->weak_from_this();
    handlers.received = [weak, name](SessionStream *, wire::AgentMessage message) {
        if (const std::shared_ptr<Parts> parts = weak.lock(); parts != nullptr) {
            parts->loop->post([weak, name, message = std::move(message)] {
                if (const std::shared_ptr<Parts> alive = weak.lock(); alive != nullptr) {
                    alive->received(name, message);
                }
            });
        }
    };
    handlers.done = [weak, name](SessionStream *) {
        if (const std::shared_ptr<Parts> parts = weak.lock(); parts != nullptr) {
            parts->ended(name);
        }
    };
    auto *const stream = new SessionStream(std::move(handlers));
    this->sessions[name].stream = stream;
    if (this->stopped || this->sessions.size() > MostSessions) {
        stream->abort();
    }
    stream->readNext();
    return stream;
}

void ControlService::Parts::received(std::uint64_t session, const wire::AgentMessage &message)
{
    bool opens = false;
    {
        const std::lock_guard guard(this->mutex);
        const auto found = this->sessions.find(session);
        if (this->stopped || found == this->sessions.end()) {
            return;
        }
        opens = !std::exchange(found->second.opened, true);
        if (opens && !message.has_hello()) {
            found->second.stream->close();
            return;
        }
    }
    if (opens) {
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
    const bool tell = found->second.opened && !this->stopped;
    this->sessions.erase(found);
    if (tell) {
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
    if (this->stopped || this->abandons.size() >= MostCalls) {
        pending->abandon();
        return reactor;
    }
    const std::uint64_t name = ++this->lastCall;
    this->abandons[name] = [pending] {
        pending->abandon();
    };
    this->loop->post([weak = this->weak_from_this(), pending, name, request = *request, handler] {
        const std::shared_ptr<Parts> parts = weak.lock();
        if (parts == nullptr || pending->reactor == nullptr) {
            return;
        }
        (parts->events.*handler)(request, [weak, pending, name](Reply value) {
            const std::shared_ptr<Parts> alive = weak.lock();
            if (alive == nullptr) {
                return;
            }
            const std::lock_guard lock(alive->mutex);
            alive->abandons.erase(name);
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
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveMilliseconds);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepaliveMilliseconds);
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
        for (const auto &[name, session] : this->parts->sessions) {
            session.stream->abort();
        }
        for (const auto &[name, abandon] : this->parts->abandons) {
            abandon();
        }
        this->parts->abandons.clear();
    }
    this->parts->server->Shutdown(std::chrono::system_clock::now() + ShutdownPatience);
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
        found->second.stream->send(this->parts->packedOnce(message));
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
