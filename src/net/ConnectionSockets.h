#pragma once

#include "base/BootClock.h"
#include "net/HttpClient.h"

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

    /**
     * Records that a call is sent on a connection.
     * @param deadline when the call is given up
     */
    void beginCall(int socket, CallId call, BootTime deadline);

    /** Records that a call has ended; ignored if the descriptor is that of another call's connection by now. */
    void endCall(int socket, CallId call);

    /** Records that a call is given up now; ignored likewise. */
    void giveUpCall(int socket, CallId call);

    /** @return whether the call on the connection has been given up */
    bool isGivenUp(int socket) const;

    /** @return number of connections added since the start */
    std::uint64_t addedTotal() const;

    /** Removes a descriptor that is about to be closed. */
    void remove(int socket);

private:
    std::function<void(int)> onClose;
    std::uint64_t addedCount = 0;
    std::unordered_map<std::string, int> socketsByKey;
    std::unordered_map<int, std::string> keysBySocket;
    struct OpenCall {
        CallId call = 0;
        BootTime deadline;
    };
    /** The call in progress on each connection. */
    std::unordered_map<int, OpenCall> openCalls;
};

} // namespace bergamotweir::net
