#pragma once

#include "loop/EventLoop.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <map>
#include <memory>
#include <string>

namespace bergamotweir::test {

/** One connection that a ScriptedPeer accepted. */
struct PeerConnection {
    int socket = -1;
    /** 1 for the first connection accepted. */
    int number = 0;
    std::string received;

    void send(std::string_view bytes) const
    {
        [[maybe_unused]] const auto sent = ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /** @return number of complete header blocks received */
    int requests() const
    {
        int count = 0;
        for (std::size_t at = 0; (at = this->received.find("\r\n\r\n", at)) != std::string::npos; at += 4) {
            ++count;
        }
        return count;
    }
};

/** A TCP server on the test's loop that sends exactly the bytes of the test's script and closes when told to. */
class ScriptedPeer
{
public:
    using Script = std::function<void(PeerConnection &)>;

    /** @param script called after each read */
    ScriptedPeer(loop::EventLoop &loop, Script script)
        : loop(loop)
        , script(std::move(script))
        , listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in local{};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof local;
        [[maybe_unused]] const int bound = bind(this->listener, reinterpret_cast<sockaddr *>(&local), size);
        ::listen(this->listener, 16);
        getsockname(this->listener, reinterpret_cast<sockaddr *>(&local), &size);
        this->port = ntohs(local.sin_port);
        loop.watch(this->listener, {.readable = true}, [this](loop::Readiness) {
            this->accept();
        });
    }

    ~ScriptedPeer()
    {
        this->loop.unwatch(this->listener);
        ::close(this->listener);
        while (!this->connections.empty()) {
            this->close(this->connections.begin()->second);
        }
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->port);
    }

    /** Closes a connection; the reference is invalid afterwards. @param reset whether to send RST in place of FIN */
    void close(PeerConnection &connection, bool reset = false)
    {
        const int socket = connection.socket;
        if (reset) {
            const linger none{.l_onoff = 1, .l_linger = 0};
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        }
        this->loop.unwatch(socket);
        ::close(socket);
        this->connections.erase(socket);
    }

    PeerConnection *find(int number)
    {
        for (auto &[socket, connection] : this->connections) {
            if (connection.number == number) {
                return &connection;
            }
        }
        return nullptr;
    }

    int accepted = 0;
    int requests = 0;

private:
    void accept()
    {
        const int socket = ::accept(this->listener, nullptr, nullptr);
        PeerConnection &connection = this->connections[socket];
        connection.socket = socket;
        connection.number = ++this->accepted;
        this->loop.watch(socket, {.readable = true}, [this, socket](loop::Readiness) {
            this->read(socket);
        });
    }

    void read(int socket)
    {
        PeerConnection &connection = this->connections.at(socket);
        char bytes[4096];
        const auto count = recv(socket, bytes, sizeof bytes, 0);
        if (count <= 0) {
            this->close(connection);
            return;
        }
        const int before = connection.requests();
        connection.received.append(bytes, static_cast<std::size_t>(count));
        this->requests += connection.requests() - before;
        this->script(connection);
    }

    loop::EventLoop &loop;
    Script script;
    int listener;
    std::uint16_t port = 0;
    std::map<int, PeerConnection> connections;
};

} // namespace bergamotweir::test
