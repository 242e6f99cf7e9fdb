#include "rpc/RaftTransport.h"

#include "base/BootClock.h"
#include "loop/EventLoop.h"
#include "loop/Log.h"
#include "rpc/FrameServer.h"
#include "rpc/FrameSocket.h"

#include <chrono>
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace bergamotweir::rpc {

namespace {

/** Maximum number of messages queued for one peer; the oldest are dropped first, as newer ones supersede them. */
constexpr std::size_t MaxQueuedPerPeer = 1024;

/** Messages are handed to the socket up to these bounds; the rest stays in the queue, from which they can be dropped.
 */
constexpr std::size_t MaxSocketBytes = std::size_t{256} * 1024;
constexpr std::size_t MaxSocketFrames = 64;

/** Minimum time between two attempts to reach a peer. */
constexpr std::chrono::milliseconds ReconnectBackoff{50};
constexpr std::chrono::milliseconds ConnectTimeout{500};

/** Interval in which a peer confirms what it has received, with an empty frame. */
constexpr std::chrono::milliseconds ReceiptInterval{500};
/** Time without a receipt for a sent message after which the connection counts as stalled by a partition. */
constexpr std::chrono::milliseconds ReceiptTimeout{2000};
constexpr std::chrono::milliseconds CheckInterval{100};
/** Followers rarely send to each other; a connection without a message for longer may belong to a lost VM. */
constexpr std::chrono::seconds MaxIdleTime{60};

constexpr loop::Log Log("replica");

/** The connection to a peer on which messages are sent. */
struct Peer {
    std::shared_ptr<FrameSocket> socket;
    std::deque<Frame> queue;
    BootTime connectedAt;
    BootTime nextAttemptAt;
    /** When the first message was sent that no receipt has confirmed; BootTime::max() if there is none. */
    BootTime unconfirmedSince = BootTime::max();
};

/** A connection on which messages arrive. */
struct Incoming {
    std::shared_ptr<FrameSocket> socket;
    bool owesReceipt = false;
};

} // namespace

struct RaftTransport::Parts {
    explicit Parts(loop::EventLoop &loop, std::function<void(const wire::RaftMessage &)> received)
        : loop(loop)
        , received(std::move(received))
    {
    }

    ~Parts()
    {
        this->loop.cancel(this->checkTimer);
        this->loop.cancel(this->receiptTimer);
        for (const auto &[address, peer] : this->peers) {
            if (peer.socket) {
                peer.socket->close();
            }
        }
        for (const auto &[id, connection] : this->incoming) {
            connection.socket->close();
        }
    }

    Parts(const Parts &) = delete;
    Parts &operator=(const Parts &) = delete;

    void accepted(std::shared_ptr<FrameSocket> socket);
    void receivedFrame(std::uint64_t id, std::string_view payload);
    void sendReceipts();
    void connect(const std::string &address, Peer &peer, BootTime now);
    void disconnect(Peer &peer, BootTime now);
    void sendQueued(Peer &peer, BootTime now);
    void checkPeers();

    loop::EventLoop &loop;
    const std::function<void(const wire::RaftMessage &)> received;
    std::unique_ptr<FrameServer> server;
    loop::TimerId checkTimer = 0;
    loop::TimerId receiptTimer = 0;
    std::map<std::string, Peer> peers;
    std::map<std::uint64_t, Incoming> incoming;
    std::uint64_t lastIncoming = 0;
};

void RaftTransport::Parts::accepted(std::shared_ptr<FrameSocket> socket)
{
    const std::uint64_t id = ++this->lastIncoming;
    socket->setEvents({.frame =
                           [this, id](std::string_view payload) {
                               this->receivedFrame(id, payload);
                           },
                       .closed =
                           [this, id] {
                               this->incoming.erase(id);
                           }});
    this->incoming[id].socket = std::move(socket);
}

void RaftTransport::Parts::receivedFrame(std::uint64_t id, std::string_view payload)
{
    wire::RaftMessage message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        Log.error("received a message of a replica that cannot be decoded; closing the connection");
        this->incoming.extract(id).mapped().socket->close();
        return;
    }
    this->incoming.at(id).owesReceipt = true;
    this->received(message);
}

void RaftTransport::Parts::sendReceipts()
{
    static const Frame receipt = std::make_shared<const std::string>(frameHeader(0));
    const BootTime idleBefore = BootClock::now() - MaxIdleTime;
    std::erase_if(this->incoming, [idleBefore](const auto &entry) {
        return entry.second.socket->lastReceivedAt() < idleBefore;
    });
    for (auto &[id, connection] : this->incoming) {
        if (std::exchange(connection.owesReceipt, false)) {
            connection.socket->send(receipt);
        }
    }
}

void RaftTransport::Parts::connect(const std::string &address, Peer &peer, BootTime now)
{
    peer.socket = FrameSocket::connect(this->loop, address, MaxMessageBytes);
    peer.connectedAt = now;
    peer.nextAttemptAt = now + ReconnectBackoff;
    peer.unconfirmedSince = BootTime::max();
    peer.socket->setEvents({.frame =
                                [&peer](std::string_view) {
                                    peer.unconfirmedSince = BootTime::max();
                                },
                            .closed =
                                [this, &peer] {
                                    this->disconnect(peer, BootClock::now());
                                },
                            .written =
                                [this, &peer] {
                                    this->sendQueued(peer, BootClock::now());
                                }});
}

/** Raft retransmits what is still needed, so the queue is dropped. */
void RaftTransport::Parts::disconnect(Peer &peer, BootTime now)
{
    peer.socket->close();
    peer.socket.reset();
    peer.queue.clear();
    peer.nextAttemptAt = now + ReconnectBackoff;
}

void RaftTransport::Parts::sendQueued(Peer &peer, BootTime now)
{
    while (peer.socket && !peer.queue.empty() && peer.socket->queuedBytes() < MaxSocketBytes
           && peer.socket->queuedFrames() < MaxSocketFrames) {
        peer.socket->send(std::move(peer.queue.front()));
        peer.queue.pop_front();
        peer.unconfirmedSince = std::min(peer.unconfirmedSince, now);
    }
}

void RaftTransport::Parts::checkPeers()
{
    const BootTime now = BootClock::now();
    for (auto &[address, peer] : this->peers) {
        if (!peer.socket) {
            continue;
        }
        const bool isConnecting = !peer.socket->isReady();
        const bool hasStalled =
            isConnecting ? now >= peer.connectedAt + ConnectTimeout
                         : peer.unconfirmedSince != BootTime::max() && now - peer.unconfirmedSince >= ReceiptTimeout;
        if (hasStalled) {
            this->disconnect(peer, now);
        } else {
            this->sendQueued(peer, now);
        }
    }
}

Result<std::unique_ptr<RaftTransport>> RaftTransport::open(loop::EventLoop &loop,
                                                           const RaftTransportSettings &settings,
                                                           std::function<void(const wire::RaftMessage &)> received)
{
    auto parts = std::make_unique<Parts>(loop, std::move(received));
    Result<std::unique_ptr<FrameServer>> server =
        FrameServer::listen(loop,
                            {.address = settings.address,
                             .port = settings.port,
                             .maxFrameBytes = MaxMessageBytes,
                             .priority = loop::WatchPriority::High},
                            {.accepted =
                                 [parts = parts.get()](std::shared_ptr<FrameSocket> socket) {
                                     parts->accepted(std::move(socket));
                                 },
                             .http2 = {}});
    if (!server) {
        return oneFinding("raft port " + server.error().front().place, "could not be opened for listening");
    }
    parts->server = std::move(server).value();
    parts->checkTimer = loop.every(CheckInterval, [parts = parts.get()] {
        parts->checkPeers();
    });
    parts->receiptTimer = loop.every(ReceiptInterval, [parts = parts.get()] {
        parts->sendReceipts();
    });
    return std::unique_ptr<RaftTransport>(new RaftTransport(std::move(parts)));
}

RaftTransport::RaftTransport(std::unique_ptr<Parts> parts)
    : parts(std::move(parts))
{
}

RaftTransport::~RaftTransport() = default;

void RaftTransport::send(const std::string &address, const wire::RaftMessage &message)
{
    if (message.ByteSizeLong() > MaxMessageBytes) {
        return;
    }
    const BootTime now = BootClock::now();
    Peer &peer = this->parts->peers[address];
    if (!peer.socket) {
        if (now < peer.nextAttemptAt) {
            return;
        }
        this->parts->connect(address, peer, now);
    }
    if (peer.queue.size() >= MaxQueuedPerPeer) {
        peer.queue.pop_front();
    }
    peer.queue.push_back(makeFrame(message));
    this->parts->sendQueued(peer, now);
}

std::uint16_t RaftTransport::port() const
{
    return this->parts->server->port();
}

} // namespace bergamotweir::rpc
