#include "KeptConnection.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bergamotweir::test {

namespace {

/** @return whether the text contains a complete answer that states its length */
bool isComplete(const std::string &text)
{
    const std::size_t header = text.find("\r\n\r\n");
    const std::size_t field = text.find("Content-Length: ");
    if (header == std::string::npos || field == std::string::npos || field > header) {
        return false;
    }
    return text.size() >= header + 4 + std::stoul(text.substr(field + 16));
}

} // namespace

KeptConnection::KeptConnection(std::uint16_t port)
    : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(this->socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(this->socket);
        this->socket = -1;
    }
}

KeptConnection::~KeptConnection()
{
    if (this->socket >= 0) {
        close(this->socket);
    }
}

KeptConnection::Outcome KeptConnection::ask(const std::string &target, std::chrono::milliseconds timeLimit)
{
    const std::string request = "GET " + target + " HTTP/1.1\r\nHost: test\r\n\r\n";
    const auto startedAt = std::chrono::steady_clock::now();
    const auto elapsedTime = [&] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - startedAt);
    };
    std::string answer;
    bool ended = send(this->socket, request.data(), request.size(), MSG_NOSIGNAL) < 0;
    while (!ended && !isComplete(answer) && elapsedTime() < timeLimit) {
        pollfd wait{this->socket, POLLIN, 0};
        poll(&wait, 1, 10);
        char bytes[4096];
        const auto count = (wait.revents & (POLLIN | POLLHUP)) != 0 ? recv(this->socket, bytes, sizeof bytes, 0) : -2;
        ended = count == 0 || count == -1;
        answer.append(bytes, count > 0 ? static_cast<std::size_t>(count) : 0);
    }
    const Outcome outcome{isComplete(answer), elapsedTime()};
    if (ended || answer.find("Connection: close") != std::string::npos) {
        close(this->socket);
        this->socket = -1;
    }
    return outcome;
}

bool KeptConnection::isOpen() const
{
    return this->socket >= 0;
}

} // namespace bergamotweir::test
