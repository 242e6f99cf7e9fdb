#include "net/PipelineServer.h"

#include "net/PipelineConnection.h"

#include <ace/SOCK_Acceptor.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>

#include <unordered_map>

namespace bergamotweir::net {

namespace {

constexpr std::chrono::seconds SweepInterval{1};
/** Connections that the kernel queues until they are accepted: enough for a burst within one loop iteration. */
constexpr int Backlog = 511;
/** Bounds the connections accepted in one loop iteration, so that other event sources are served. */
constexpr int MaxAcceptsPerIteration = 64;

ACE_INET_Addr toAddress(const HttpServerSettings &settings)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(settings.port);
    inet_pton(AF_INET, settings.address.c_str(), &address.sin_addr);
    return ACE_INET_Addr(&address, sizeof address);
}

std::string toText(const ACE_INET_Addr &address)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    const auto *inet = static_cast<const sockaddr_in *>(address.get_addr());
    inet_ntop(AF_INET, &inet->sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(address.get_port_number());
}

} // namespace

struct PipelineServer::Parts {
    PipelineHost host;
    ACE_SOCK_Acceptor acceptor;
    std::uint16_t port = 0;
    loop::TimerId sweepTimer = 0;
    bool isAccepting = false;
    std::unordered_map<PipelineConnection *, std::shared_ptr<PipelineConnection>> connections;

    Findings start();
    void watchAcceptor();
    void accept();
    void addConnection(const ACE_SOCK_Stream &stream, const ACE_INET_Addr &peer);
    void closeIdle();
    std::vector<std::shared_ptr<PipelineConnection>> openConnections() const;
};

Findings PipelineServer::Parts::start()
{
    const HttpServerSettings &settings = this->host.settings;
    ACE_INET_Addr bound;
    if (this->acceptor.open(toAddress(settings), 1, PF_INET, Backlog) != 0
        || this->acceptor.get_local_addr(bound) != 0) {
        return oneFinding(settings.address + ":" + std::to_string(settings.port),
                          "the HTTP server cannot listen there",
                          "a free port of this VM");
    }
    this->acceptor.enable(ACE_NONBLOCK);
    this->port = bound.get_port_number();
    this->host.onClosed = [this](PipelineConnection *connection) {
        this->connections.erase(connection);
        this->watchAcceptor();
    };
    this->sweepTimer = this->host.loop.every(SweepInterval, [this] {
        this->closeIdle();
    });
    this->watchAcceptor();
    return {};
}

/** Accepts connections up to the maximum; further callers wait in the kernel's backlog. */
void PipelineServer::Parts::watchAcceptor()
{
    const bool open = this->acceptor.get_handle() != ACE_INVALID_HANDLE;
    const bool wanted = open && this->connections.size() < this->host.settings.maxConnections;
    if (wanted == this->isAccepting) {
        return;
    }
    this->isAccepting = wanted;
    if (!wanted) {
        this->host.loop.unwatch(this->acceptor.get_handle());
        return;
    }
    this->host.loop.watch(this->acceptor.get_handle(), {.readable = true}, [this](loop::Readiness) {
        this->accept();
    });
}

void PipelineServer::Parts::accept()
{
    for (int count = 0; count < MaxAcceptsPerIteration && this->isAccepting; ++count) {
        ACE_SOCK_Stream stream;
        ACE_INET_Addr peer;
        if (this->acceptor.accept(stream, &peer) != 0) {
            return;
        }
        this->addConnection(stream, peer);
        this->watchAcceptor();
    }
}

void PipelineServer::Parts::addConnection(const ACE_SOCK_Stream &stream, const ACE_INET_Addr &peer)
{
    ACE_SOCK_Stream accepted(stream);
    accepted.enable(ACE_NONBLOCK);
    int on = 1;
    accepted.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto connection = std::make_shared<PipelineConnection>(this->host, accepted, toText(peer));
    this->connections.emplace(connection.get(), connection);
    connection->start();
}

std::vector<std::shared_ptr<PipelineConnection>> PipelineServer::Parts::openConnections() const
{
    std::vector<std::shared_ptr<PipelineConnection>> open;
    open.reserve(this->connections.size());
    for (const auto &[key, connection] : this->connections) {
        open.push_back(connection);
    }
    return open;
}

void PipelineServer::Parts::closeIdle()
{
    const BootTime now = BootClock::now();
    for (const std::shared_ptr<PipelineConnection> &connection : this->openConnections()) {
        connection->closeIfIdle(now);
    }
}

Result<std::unique_ptr<PipelineServer>>
PipelineServer::listen(loop::EventLoop &loop, const HttpServerSettings &settings, Handler handler)
{
    std::unique_ptr<Parts> parts(
        new Parts{.host = {.loop = loop, .settings = settings, .handler = std::move(handler), .onClosed = {}},
                  .acceptor = {},
                  .connections = {}});
    Findings findings = parts->start();
    if (!findings.empty()) {
        return findings;
    }
    return std::unique_ptr<PipelineServer>(new PipelineServer(std::move(parts)));
}

PipelineServer::PipelineServer(std::unique_ptr<Parts> parts)
    : parts(std::move(parts))
{
}

PipelineServer::~PipelineServer()
{
    this->stopAccepting();
    this->parts->host.loop.cancel(this->parts->sweepTimer);
    for (const std::shared_ptr<PipelineConnection> &connection : this->parts->openConnections()) {
        connection->disconnect(false);
    }
}

std::uint16_t PipelineServer::port() const
{
    return this->parts->port;
}

std::size_t PipelineServer::inProgress() const
{
    return this->parts->host.inProgress;
}

void PipelineServer::stopAccepting()
{
    if (this->parts->acceptor.get_handle() == ACE_INVALID_HANDLE) {
        return;
    }
    this->parts->host.loop.unwatch(this->parts->acceptor.get_handle());
    this->parts->acceptor.close();
    this->parts->isAccepting = false;
    for (const std::shared_ptr<PipelineConnection> &connection : this->parts->openConnections()) {
        connection->drain();
    }
}

} // namespace bergamotweir::net
