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

/** Messages waiting for one peer; the oldest go first, as newer ones say more. */
constexpr std::size_t MaxQueued = 1024;

/** Messages received and not yet handled by the loop; more are dropped. */
constexpr int MaxReceived = 4096;

/** Least time between two tries to reach a peer. */
constexpr std::chrono::milliseconds ReconnectPause{50};

/** A silent partition must not hold a stream until TCP gives up: pings find it within about two seconds. */
constexpr std::chrono::milliseconds PingInterval{1000};
constexpr std::chrono::milliseconds PingTimeout{1000};
constexpr std::chrono::milliseconds ConnectTimeout{500};
constexpr std::chrono::milliseconds MaxReconnectBackoff{100};

/** True while the transport lives; read and written on the loop's thread only. */
using Alive = std::shared_ptr<bool>;

/** Reads one incoming stream and posts each message to the loop. Deletes itself. */
class Incoming : public grpc::ServerReadReactor<wire::RaftMessage>
{
public:
    using Handler = std::function<void(const wire::RaftMessage &)>;

    Incoming(loop::EventLoop &loop, Alive alive, std::shared_ptr<std::atomic<int>> waiting, const Handler &handler)
        : loop(loop)
        , alive(std::move(alive))
        , waiting(std::move(waiting))
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
        if (this->waiting->fetch_add(1) < MaxReceived) {
            auto received = std::make_shared<wire::RaftMessage>(std::move(this->message));
            this->loop.post([received, alive = this->alive, waiting = this->waiting, handler = &this->handler] {
                waiting->fetch_sub(1);
                if (*alive) {
                    (*handler)(*received);
                }
            });
        } else {
            this->waiting->fetch_sub(1);
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
    const std::shared_ptr<std::atomic<int>> waiting;
    const Handler &handler;
    wire::RaftMessage message;
};

class Service : public wire::RaftTransport::CallbackService
{
public:
    Service(loop::EventLoop &loop, Alive alive, Incoming::Handler handler)
        : loop(loop)
        , alive(std::move(alive))
        , handler(std::move(handler))
    {
    }

    grpc::ServerReadReactor<wire::RaftMessage> *Deliver(grpc::CallbackServerContext *, wire::Delivered *) override
    {
        return new Incoming(this->loop, this->alive, this->waiting, this->handler);
    }

private:
    loop::EventLoop &loop;
    const Alive alive;
    const Incoming::Handler handler;
    const std::shared_ptr<std::atomic<int>> waiting = std::make_shared<std::atomic<int>>(0);
};

/** Counts streams whose end gRPC still has to tell. */
struct OpenStreams {
    std::mutex mutex;
    std::condition_variable ended;
    int count = 0;
};

/**
 * One outgoing stream. Keeps itself until gRPC has told its end.
 * Guards against a write on a stream that gRPC has ended meanwhile on its own thread, which reads freed memory and
 * brings the process down: a hold keeps gRPC from ending it before release(), which only the loop's thread calls.
 */
class Outgoing : public grpc::ClientWriteReactor<wire::RaftMessage>
{
public:
    Outgoing(wire::RaftTransport::Stub &stub, OpenStreams &streams, std::function<void(bool ok)> written)
        : streams(streams)
        , written(std::move(written))
    {
        {
            const std::lock_guard guard(this->streams.mutex);
            this->streams.count++;
        }
        stub.async()->Deliver(&this->context, &this->delivered, this);
    }

    void start(std::shared_ptr<Outgoing> self)
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

    // Freed before it is counted as ended: the transport closes its channels once the count is zero, and a channel
    // whose last reference goes on one of gRPC's threads makes gRPC abort the process.
    void OnDone(const grpc::Status &) override
    {
        OpenStreams &open = this->streams;
        std::shared_ptr<Outgoing> kept = std::move(this->self);
        kept.reset();
        const std::lock_guard guard(open.mutex);
        open.count--;
        open.ended.notify_all();
    }

private:
    OpenStreams &streams;
    const std::function<void(bool)> written;
    std::shared_ptr<Outgoing> self;
    grpc::ClientContext context;
    wire::Delivered delivered;
    wire::RaftMessage message;
};

struct Peer {
    std::unique_ptr<wire::RaftTransport::Stub> stub;
    std::deque<wire::RaftMessage> queue;
    std::shared_ptr<Outgoing> stream;
    std::uint64_t streamNumber = 0;
    bool writing = false;
    bool pausing = false;
};

ChannelSettings channelSettings()
{
    ChannelSettings settings;
    settings.maxMessageBytes = static_cast<int>(RaftTransport::MaxMessageBytes);
    settings.connectTimeout = ConnectTimeout;
    settings.minReconnectBackoff = ReconnectPause;
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
    void pump(const std::string &address);
    void open(const std::string &address, Peer &peer);
    void streamBroken(const std::string &address, Peer &broken);

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
                this->streamBroken(address, peer);
                return;
            }
            peer.writing = false;
            this->pump(address);
        });
    };
    peer.stream = std::make_shared<Outgoing>(*peer.stub, this->streams, written);
    peer.writing = false;
    peer.stream->start(peer.stream);
}

void RaftTransport::Parts::streamBroken(const std::string &address, Peer &broken)
{
    broken.stream->release();
    broken.stream.reset();
    broken.queue.clear();
    broken.writing = false;
    broken.pausing = true;
    this->loop.after(ReconnectPause, [this, address, alive = this->alive] {
        if (*alive) {
            this->peer(address).pausing = false;
        }
    });
}

void RaftTransport::Parts::pump(const std::string &address)
{
    Peer &target = this->peer(address);
    if (target.queue.empty() || target.writing || target.pausing) {
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
        return oneFinding("raft port " + endpoint, "can't be listened on");
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
    if (target.pausing || message.ByteSizeLong() > MaxMessageBytes) {
        return;
    }
    if (target.queue.size() >= MaxQueued) {
        target.queue.pop_front();
    }
    target.queue.push_back(std::move(message));
    this->parts->pump(address);
}

std::uint16_t RaftTransport::port() const
{
    return static_cast<std::uint16_t>(this->parts->port);
}

} // namespace bergamotweir::rpc
