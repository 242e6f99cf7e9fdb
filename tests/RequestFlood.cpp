#include "RequestFlood.h"

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <utility>

namespace bergamotweir::test {

using namespace std::chrono_literals;

namespace {

void raiseDescriptorLimit()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace

RequestFlood::RequestFlood(const std::string &address, std::size_t connections, std::string request)
    : ip(address.substr(0, address.rfind(':')))
    , port(address.substr(address.rfind(':') + 1))
    , request(std::move(request))
    , sockets(connections, -1)
{
    raiseDescriptorLimit();
    this->thread = std::thread([this] {
        this->run();
    });
}

RequestFlood::~RequestFlood()
{
    this->stopping = true;
    this->thread.join();
    for (const int socket : this->sockets) {
        if (socket >= 0) {
            close(socket);
        }
    }
}

std::size_t RequestFlood::answers() const
{
    return this->answerCount;
}

int RequestFlood::connect() const
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(this->port)));
    inet_pton(AF_INET, this->ip.c_str(), &target.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0
        || ::send(socket, this->request.data(), this->request.size(), MSG_NOSIGNAL) < 0) {
        close(socket);
        return -1;
    }
    return socket;
}

void RequestFlood::run()
{
    std::vector<pollfd> polled(this->sockets.size());
    std::array<char, 4096> answer{};
    while (!this->stopping) {
        for (std::size_t index = 0; index < this->sockets.size() && !this->stopping; ++index) {
            if (this->sockets[index] < 0) {
                this->sockets[index] = this->connect();
            }
            polled[index] = {this->sockets[index], POLLIN, 0};
        }
        if (poll(polled.data(), polled.size(), 50) <= 0) {
            continue;
        }
        for (std::size_t index = 0; index < polled.size(); ++index) {
            if (polled[index].revents == 0) {
                continue;
            }
            const int socket = this->sockets[index];
            const bool isOpen = recv(socket, answer.data(), answer.size(), 0) > 0;
            this->answerCount += isOpen ? 1 : 0;
            if (!isOpen || ::send(socket, this->request.data(), this->request.size(), MSG_NOSIGNAL) < 0) {
                close(std::exchange(this->sockets[index], -1));
            }
        }
    }
}

Throttle::Throttle(int pid)
    : thread([this, pid] {
        while (!this->stopping) {
            kill(pid, SIGSTOP);
            std::this_thread::sleep_for(90ms);
            kill(pid, SIGCONT);
            std::this_thread::sleep_for(10ms);
        }
    })
{
}

Throttle::~Throttle()
{
    this->stopping = true;
    this->thread.join();
}

} // namespace bergamotweir::test
