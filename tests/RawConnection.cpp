#include "RawConnection.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace bergamotweir::test {

RawConnection::RawConnection(const std::string &ip, std::uint16_t port)
    : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(port);
    REQUIRE(inet_pton(AF_INET, ip.c_str(), &target.sin_addr) == 1);
    REQUIRE(::connect(this->socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0);
}

RawConnection::~RawConnection()
{
    close(this->socket);
}

void RawConnection::send(const std::string &bytes)
{
    REQUIRE(::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
}

std::string RawConnection::receiveUntilClosed(std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    std::string received;
    std::array<char, 4096> bytes{};
    while (true) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
        pollfd polled{this->socket, POLLIN, 0};
        if (left.count() <= 0 || poll(&polled, 1, static_cast<int>(left.count())) <= 0) {
            return received;
        }
        const ssize_t size = recv(this->socket, bytes.data(), bytes.size(), 0);
        if (size <= 0) {
            return received;
        }
        received.append(bytes.data(), static_cast<std::size_t>(size));
    }
}

} // namespace bergamotweir::test
