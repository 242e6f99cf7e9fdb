#include "ResettingListener.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bergamotweir::test {

namespace {

constexpr int Backlog = 64;
constexpr int PollMilliseconds = 10;

} // namespace

ResettingListener::ResettingListener()
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
    this->thread = std::thread([this] {
        while (!this->stopping) {
            pollfd polled{this->socket, POLLIN, 0};
            if (poll(&polled, 1, PollMilliseconds) <= 0) {
                continue;
            }
            const int accepted = accept(this->socket, nullptr, nullptr);
            const linger reset{.l_onoff = 1, .l_linger = 0};
            setsockopt(accepted, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            close(accepted);
            ++this->resetCount;
        }
    });
}

ResettingListener::~ResettingListener()
{
    this->stop();
}

std::string ResettingListener::address() const
{
    return "127.0.0.1:" + std::to_string(this->port);
}

void ResettingListener::stop()
{
    if (this->thread.joinable()) {
        this->stopping = true;
        this->thread.join();
        close(this->socket);
    }
}

unsigned ResettingListener::resets() const
{
    return this->resetCount;
}

} // namespace bergamotweir::test
