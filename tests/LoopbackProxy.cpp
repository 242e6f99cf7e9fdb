#include "LoopbackProxy.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace bergamotweir::test {

namespace {

constexpr int PollMilliseconds = 10;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int openSocket()
{
    return ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

} // namespace

LoopbackProxy::LoopbackProxy(const std::string &target, std::chrono::milliseconds delay)
    : targetPort(static_cast<std::uint16_t>(std::stoul(target.substr(target.rfind(':') + 1))))
    , delay(delay)
    , listener(openSocket())
{
    sockaddr_in local = loopback(0);
    socklen_t size = sizeof local;
    [[maybe_unused]] const int bound = bind(this->listener, reinterpret_cast<const sockaddr *>(&local), size);
    listen(this->listener, 16);
    getsockname(this->listener, reinterpret_cast<sockaddr *>(&local), &size);
    this->port = ntohs(local.sin_port);
    this->thread = std::thread([this] {
        this->run();
    });
}

LoopbackProxy::~LoopbackProxy()
{
    this->stopping = true;
    this->thread.join();
    for (const Connection &connection : this->connections) {
        close(connection.caller);
        close(connection.target);
    }
    close(this->listener);
}

std::string LoopbackProxy::address() const
{
    return "127.0.0.1:" + std::to_string(this->port);
}

void LoopbackProxy::stallConnections()
{
    ++this->stalls;
}

int LoopbackProxy::accepted() const
{
    return this->acceptedCount;
}

void LoopbackProxy::run()
{
    while (!this->stopping) {
        std::vector<pollfd> waits{{this->listener, POLLIN, 0}};
        for (const Connection &connection : this->connections) {
            const bool stalled = connection.generation < this->stalls;
            waits.push_back({stalled ? -1 : connection.caller, POLLIN, 0});
            waits.push_back({stalled ? -1 : connection.target, POLLIN, 0});
        }
        poll(waits.data(), waits.size(), PollMilliseconds);
        std::vector<Connection> open;
        for (std::size_t index = 0; index < this->connections.size(); ++index) {
            const Connection &connection = this->connections[index];
            const bool fromCaller = waits[2 * index + 1].revents != 0;
            const bool fromTarget = waits[2 * index + 2].revents != 0;
            const bool works = (!fromCaller || forward(connection.caller, connection.target))
                               && (!fromTarget || forward(connection.target, connection.caller));
            if (works) {
                open.push_back(connection);
            } else {
                this->closeBoth(connection);
            }
        }
        this->connections = std::move(open);
        this->sendDue();
        if (waits.front().revents != 0) {
            this->accept();
        }
    }
}

void LoopbackProxy::accept()
{
    Connection connection{
        .caller = ::accept(this->listener, nullptr, nullptr), .target = openSocket(), .generation = this->stalls};
    const sockaddr_in target = loopback(this->targetPort);
    if (connect(connection.target, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        close(connection.caller);
        close(connection.target);
        return;
    }
    ++this->acceptedCount;
    this->connections.push_back(connection);
}

bool LoopbackProxy::forward(int from, int to)
{
    std::array<char, 65536> bytes{};
    const ssize_t count = recv(from, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    const auto due = std::chrono::steady_clock::now() + this->delay;
    this->delayed.push_back({to, due, std::string(bytes.data(), static_cast<std::size_t>(count))});
    return true;
}

void LoopbackProxy::sendDue()
{
    while (!this->delayed.empty() && this->delayed.front().due <= std::chrono::steady_clock::now()) {
        const Delayed &first = this->delayed.front();
        [[maybe_unused]] const auto sent = send(first.to, first.bytes.data(), first.bytes.size(), MSG_NOSIGNAL);
        this->delayed.pop_front();
    }
}

void LoopbackProxy::closeBoth(const Connection &connection)
{
    std::erase_if(this->delayed, [&](const Delayed &bytes) {
        return bytes.to == connection.caller || bytes.to == connection.target;
    });
    close(connection.caller);
    close(connection.target);
}

} // namespace bergamotweir::test
