#include "net/ConnectionSockets.h"

namespace bergamotweir::net {

static std::string nameOf(const std::string &address, int localPort)
{
    return address + "/" + std::to_string(localPort);
}

ConnectionSockets::ConnectionSockets(std::function<void(int)> closing)
    : closing(std::move(closing))
{
}

void ConnectionSockets::add(const std::string &address, int localPort, int socket)
{
    ++this->count;
    std::string name = nameOf(address, localPort);
    this->sockets[name] = socket;
    this->names[socket] = std::move(name);
}

std::uint64_t ConnectionSockets::added() const
{
    return this->count;
}

int ConnectionSockets::find(const std::string &address, int localPort) const
{
    const auto found = this->sockets.find(nameOf(address, localPort));
    return found == this->sockets.end() ? -1 : found->second;
}

void ConnectionSockets::remove(int socket)
{
    this->closing(socket);
    const auto found = this->names.find(socket);
    if (found == this->names.end()) {
        return;
    }
    const auto named = this->sockets.find(found->second);
    if (named != this->sockets.end() && named->second == socket) {
        this->sockets.erase(named);
    }
    this->names.erase(found);
}

} // namespace bergamotweir::net
