#include "net/ConnectionSockets.h"

namespace bergamotweir::net {

static std::string connectionKey(const std::string &address, int localPort)
{
    return address + "/" + std::to_string(localPort);
}

ConnectionSockets::ConnectionSockets(std::function<void(int)> onClose)
    : onClose(std::move(onClose))
{
}

void ConnectionSockets::add(const std::string &address, int localPort, int socket)
{
    ++this->addedCount;
    std::string key = connectionKey(address, localPort);
    this->socketsByKey[key] = socket;
    this->keysBySocket[socket] = std::move(key);
}

std::uint64_t ConnectionSockets::addedTotal() const
{
    return this->addedCount;
}

int ConnectionSockets::find(const std::string &address, int localPort) const
{
    const auto found = this->socketsByKey.find(connectionKey(address, localPort));
    return found == this->socketsByKey.end() ? -1 : found->second;
}

void ConnectionSockets::beginCall(int socket, CallId call, BootTime deadline)
{
    this->openCalls[socket] = {call, deadline};
}

void ConnectionSockets::endCall(int socket, CallId call)
{
    const auto found = this->openCalls.find(socket);
    if (found != this->openCalls.end() && found->second.call == call) {
        this->openCalls.erase(found);
    }
}

void ConnectionSockets::giveUpCall(int socket, CallId call)
{
    const auto found = this->openCalls.find(socket);
    if (found != this->openCalls.end() && found->second.call == call) {
        found->second.deadline = BootTime();
    }
}

bool ConnectionSockets::isGivenUp(int socket) const
{
    const auto found = this->openCalls.find(socket);
    return found != this->openCalls.end() && BootClock::now() >= found->second.deadline;
}

void ConnectionSockets::remove(int socket)
{
    this->onClose(socket);
    this->openCalls.erase(socket);
    const auto found = this->keysBySocket.find(socket);
    if (found == this->keysBySocket.end()) {
        return;
    }
    const auto entry = this->socketsByKey.find(found->second);
    if (entry != this->socketsByKey.end() && entry->second == socket) {
        this->socketsByKey.erase(entry);
    }
    this->keysBySocket.erase(found);
}

} // namespace bergamotweir::net
