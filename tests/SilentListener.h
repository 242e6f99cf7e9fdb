#pragma once

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace bergamotweir::test {

/** A port on loopback where the kernel completes connections, but none is accepted or read. */
class SilentListener
{
public:
    SilentListener()
        : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in bound{};
        bound.sin_family = AF_INET;
        bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof bound;
        REQUIRE(bind(this->socket, reinterpret_cast<sockaddr *>(&bound), size) == 0);
        REQUIRE(listen(this->socket, Backlog) == 0);
        REQUIRE(getsockname(this->socket, reinterpret_cast<sockaddr *>(&bound), &size) == 0);
        this->port = ntohs(bound.sin_port);
    }

    ~SilentListener()
    {
        close(this->socket);
    }

    SilentListener(const SilentListener &) = delete;
    SilentListener &operator=(const SilentListener &) = delete;

    /** @return IP:port to connect to */
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->port);
    }

private:
    static constexpr int Backlog = 64;

    int socket;
    std::uint16_t port = 0;
};

} // namespace bergamotweir::test
