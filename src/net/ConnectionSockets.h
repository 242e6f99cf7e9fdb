#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace bergamotweir::net {

/**
 * Finds the socket of a connection that libcurl is about to use: libcurl tells its ends but not its descriptor.
 * Owned by HttpClient.
 */
class ConnectionSockets
{
public:
    /** @param closing called with each socket that is about to be closed */
    explicit ConnectionSockets(std::function<void(int)> closing);

    /**
     * @param address the peer, IP:port
     * @param localPort the connection's own port
     * @param socket the descriptor
     */
    void add(const std::string &address, int localPort, int socket);

    /** @return the descriptor, or -1 */
    int find(const std::string &address, int localPort) const;

    /** @return connections that were ever added */
    std::uint64_t added() const;

    /** Forgets a descriptor that is about to be closed. */
    void remove(int socket);

private:
    std::function<void(int)> closing;
    std::uint64_t count = 0;
    std::unordered_map<std::string, int> sockets;
    std::unordered_map<int, std::string> names;
};

} // namespace bergamotweir::net
