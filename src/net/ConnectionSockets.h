#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace bergamotweir::net {

/**
 * Maps the addresses of a connection to its socket: libcurl reports the addresses of the connection that it is about to
 * use, but not its descriptor.
 * Owned by HttpClient.
 */
class ConnectionSockets
{
public:
    /** @param closing called with each socket that is about to be closed */
    explicit ConnectionSockets(std::function<void(int)> onClose);

    /**
     * Adds an open connection.
     * @param address the peer, IP:port
     * @param localPort the local port of the connection
     * @param socket the connection's descriptor
     */
    void add(const std::string &address, int localPort, int socket);

    /** @return the connection's descriptor, or -1 if it is unknown */
    int find(const std::string &address, int localPort) const;

    /** @return number of connections added since the start */
    std::uint64_t addedTotal() const;

    /** Removes a descriptor that is about to be closed. */
    void remove(int socket);

private:
    std::function<void(int)> onClose;
    std::uint64_t addedCount = 0;
    std::unordered_map<std::string, int> socketsByKey;
    std::unordered_map<int, std::string> keysBySocket;
};

} // namespace bergamotweir::net
