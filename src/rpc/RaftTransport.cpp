#include "rpc/RaftTransport.h"

#include "loop/EventLoop.h"
#include "raft.grpc.pb.h"
#include "rpc/Channel.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <utility>

namespace bergamotweir::rpc {

namespace {

/** Maximum number of messages queued for one peer; the oldest are dropped first, as newer ones supersede them. */
constexpr std::size_t MaxQueuedPerPeer = 1024;

/** Maximum number of messages received but not yet handled by the loop; further messages are dropped. */
constexpr int MaxUnhandled = 4096;

/** Minimum time between two attempts to reach a peer. */
constexpr std::chrono::milliseconds ReconnectBackoff{50};

/** Pings detect a partition within about two seconds; otherwise a stream would stall until TCP times out. */
constexpr std::chrono::milliseconds PingInterval{1000};
constexpr std::chrono::milliseconds PingTimeout{1000};
constexpr std::chrono::milliseconds ConnectTimeout{500};
constexpr std::chrono::milliseconds MaxReconnectBackoff{100};

/** True until the transport is destroyed; read and written on the loop's thread only. */
using Alive = std::shared_ptr<bool>;

/** Reads one incoming stream and posts each message to the loop. Deletes itself. */
class IncomingStream : public grpc::ServerReadReactor<wire::RaftMessage>
{
public:
    using Handler = std::function<void(const wire::RaftMessage &)>;

    IncomingStream(loop::EventLoop &loop,
                   Alive alive,
                   std::shared_ptr<std::atomic<int>> unhandled,
                   const Handler &handler)
        : loop(loop)
        , alive(std::move(alive))
        , unhandled(std::move(unhandled))
        , handler(handler)
    {
        this->StartRead(&this->message);
    }

    void OnReadDone(bool ok) override
    {
        if (!ok) {
            this->Finish(grpc::Status::OK);
            return;
        }
        if (this->unhandled->fetch_add(1) < MaxUnhandled) {
            auto received = std::make_shared<wire::RaftMessage>(std::move(this->message));
            this->loop.post([received, alive = this->alive, unhandled = this->unhandled, handler = &this->handler] {
                unhandled->fetch_sub(1);
                if (*alive) {
                    (*handler)(*received);
                }
            });
        } else {
            this->unhandled->fetch_sub(1);
        }
        this->message.Clear();
        this->StartRead(&this->message);
    }

    void OnDone() override
    {
        delete this;
    }

private:
    loop::EventLoop &loop;
    const Alive alive;
    const std::shared_ptr<std::atomic<int>> unhandled;
    const Handler &handler;
    wire::RaftMessage message;
};

class Service : public wire::RaftTransport::CallbackService
{
public:
    Service(loop::EventLoop &loop, Alive alive, IncomingStream::Handler handler)
        : loop(loop)
        , alive(std::move(alive))
        , handler(std::move(handler))
    {
    }

    grpc::ServerReadReactor<wire::RaftMessage> *Deliver(grpc::CallbackServerContext *, wire::Delivered *) override
    {
        return new IncomingStream(this->loop, this->alive, this->unhandled, this->handler);
    }

private:
    loop::EventLoop &loop;
    const Alive alive;
    const IncomingStream::Handler handler;
    const std::shared_ptr<std::atomic<int>> unhandled = std::make_shared<std::atomic<int>>(0);
};

/** Counts the streams whose OnDone() has not run yet. */
struct OpenStreams {
    std::mutex mutex;
    std::condition_variable ended;
    int count = 0;
};

/**
 * One outgoing stream. Holds a reference to itself until OnDone().
 * Guards against a write on a stream that gRPC has ended meanwhile on its own thread, which would read freed memory and
 * crash the process: a hold keeps gRPC from ending the stream before release(), which is called on the loop's thread
 * only.
 */
class OutgoingStream : public grpc::ClientWriteReactor<wire::RaftMessage>
{
public:
    OutgoingStream(wire::RaftTransport::Stub &stub, OpenStreams &streams, std::function<void(bool ok)> written)
        : streams(streams)
        , written(std::move(written))
    {
        {
            const std::lock_guard guard(this->streams.mutex);
            this->streams.count++;
        }
        stub.async()->Deliver(&this->context, &this->delivered, this);
    }

    void start(std::shared_ptr<OutgoingStream> self)
    {
        this->self = std::move(self);
        this->AddHold();
        this->StartCall();
    }

    void write(wire::RaftMessage next)
    {
        this->message = std::move(next);
        this->StartWrite(&this->message);
    }

    /** Ends the stream; nothing may be written after it. Called once. */
    void release()
    {
        this->context.TryCancel();
        this->RemoveHold();
    }

    void OnWriteDone(bool ok) override
    {
        this->written(ok);
    }

    // The stream is freed before it is counted as ended, as the transport closes its channels once the count is zero.
    // gRPC aborts the process if the last reference to a channel is released on one of its threads.
    void OnDone(const grpc::Status &) override
    {
        OpenStreams &open = this->streams;
        std::shared_ptr<OutgoingStream> own = std::move(this->self);
        own.reset();
        const std::lock_guard guard(open.mutex);
        open.count--;
        open.ended.notify_all();
    }

private:
    OpenStreams &streams;
    const std::function<void(bool)> written;
    std::shared_ptr<OutgoingStream> self;
    grpc::ClientContext context;
    wire::Delivered delivered;
    wire::RaftMessage message;
};

struct Peer {
    std::unique_ptr<wire::RaftTransport::Stub> stub;
    std::deque<wire::RaftMessage> queue;
    std::shared_ptr<OutgoingStream> stream;
    std::uint64_t streamNumber = 0;
    bool writing = false;
    bool isBackingOff = false;
};

ChannelSettings channelSettings()
{
    ChannelSettings settings;
    settings.maxMessageBytes = static_cast<int>(RaftTransport::MaxMessageBytes);
    settings.connectTimeout = ConnectTimeout;
    settings.minReconnectBackoff = ReconnectBackoff;
    settings.maxReconnectBackoff = MaxReconnectBackoff;
    settings.ping = PingInterval;
    settings.pingTimeout = PingTimeout;
    return settings;
}

} // namespace

struct RaftTransport::Parts {
    explicit Parts(loop::EventLoop &loop)
        : loop(loop)
    {
    }

    Peer &peer(const std::string &address);
    void sendNext(const std::string &address);
    void open(const std::string &address, Peer &peer);
    void handleBrokenStream(const std::string &address, Peer &broken);

    loop::EventLoop &loop;
    const Alive alive = std::make_shared<bool>(true);
    std::unique_ptr<Service> service;
    std::unique_ptr<grpc::Server> server;
    int port = 0;
    OpenStreams streams;
    std::map<std::string, Peer> peers;
};

Peer &RaftTransport::Parts::peer(const std::string &address)
{
    Peer &found = this->peers[address];
    if (found.stub == nullptr) {
        found.stub = wire::RaftTransport::NewStub(openChannel(address, channelSettings()));
    }
    return found;
}

void RaftTransport::Parts::open(const std::string &address, Peer &peer)
{
    const std::uint64_t number = ++peer.streamNumber;
    const auto written = [this, address, number, alive = this->alive, &loop = this->loop](bool ok) {
        loop.post([this, address, number, alive, ok] {
            if (!*alive) {
                return;
            }
            Peer &peer = this->peer(address);
            if (peer.streamNumber != number || peer.stream == nullptr) {
                return;
            }
            if (!ok) {
                this->handleBrokenStream(address, peer);
                return;
            }
            peer.writing = false;
            this->sendNext(address);
        });
    };
    peer.stream = std::make_shared<OutgoingStream>(*peer.stub, this->streams, written);
    peer.writing = false;
    peer.stream->start(peer.stream);
}

void RaftTransport::Parts::handleBrokenStream(const std::string &address, Peer &broken)
{
    broken.stream->release();
    broken.stream.reset();
    broken.queue.clear();
    broken.writing = false;
    broken.isBackingOff = true;
    this->loop.after(ReconnectBackoff, [this, address, alive = this->alive] {
        if (*alive) {
            this->peer(address).isBackingOff = false;
        }
    });
}

void RaftTransport::Parts::sendNext(const std::string &address)
{
    Peer &target = this->peer(address);
    if (target.queue.empty() || target.writing || target.isBackingOff) {
        return;
    }
    if (target.stream == nullptr) {
        this->open(address, target);
    }
    target.writing = true;
    wire::RaftMessage next = std::move(target.queue.front());
    target.queue.pop_front();
    target.stream->write(std::move(next));
}

Result<std::unique_ptr<RaftTransport>> RaftTransport::open(loop::EventLoop &loop,
                                                           const RaftTransportSettings &settings,
                                                           std::function<void(const wire::RaftMessage &)> received)
{
    auto parts = std::make_unique<Parts>(loop);
    parts->service = std::make_unique<Service>(loop, parts->alive, std::move(received));
    const std::string endpoint = settings.address + ":" + std::to_string(settings.port);
    grpc::ServerBuilder builder;
    builder.SetMaxReceiveMessageSize(static_cast<int>(MaxMessageBytes));
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               static_cast<int>(PingInterval.count() / 2));
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    builder.AddListeningPort(endpoint, grpc::InsecureServerCredentials(), &parts->port);
    builder.RegisterService(parts->service.get());
    parts->server = builder.BuildAndStart();
    if (parts->server == nullptr || parts->port == 0) {
        return oneFinding("raft port " + endpoint, "could not be opened for listening");
    }
    return std::unique_ptr<RaftTransport>(new RaftTransport(std::move(parts)));
}

RaftTransport::RaftTransport(std::unique_ptr<Parts> parts)
    : parts(std::move(parts))
{
}

RaftTransport::~RaftTransport()
{
    *this->parts->alive = false;
    this->parts->server->Shutdown(std::chrono::system_clock::now());
    for (auto &[address, peer] : this->parts->peers) {
        if (peer.stream != nullptr) {
            peer.stream->release();
        }
    }
    std::unique_lock guard(this->parts->streams.mutex);
    this->parts->streams.ended.wait(guard, [this] {
        return this->parts->streams.count == 0;
    });
}

void RaftTransport::send(const std::string &address, wire::RaftMessage message)
{
    Peer &target = this->parts->peer(address);
    if (target.isBackingOff || message.ByteSizeLong() > MaxMessageBytes) {
        return;
    }
    if (target.queue.size() >= MaxQueuedPerPeer) {
        target.queue.pop_front();
    }
    target.queue.push_back(std::move(message));
    this->parts->sendNext(address);
}

std::uint16_t RaftTransport::port() const
{
    return static_cast<std::uint16_t>(this->parts->port);
}

} // namespace bergamotweir::rpc
