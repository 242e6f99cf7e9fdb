#pragma once

#include "loop/EventLoop.h"

#include <functional>
#include <unordered_map>

namespace bergamotweir::net {

/**
 * The sockets of one HttpClient, in an epoll set of their own that the event loop watches as a whole.
 * libcurl starts and ends its interest in a kept connection for each request, and updating epoll each time took four
 * system calls a request. Here, when the interest in a socket ends, epoll is updated only if the socket becomes ready
 * afterwards.
 */
class SocketSet
{
public:
    /** @param onSocketReady called on the loop's thread with a socket and the events that it is ready for */
    SocketSet(loop::EventLoop &loop, std::function<void(int, loop::Readiness)> onSocketReady);
    ~SocketSet();
    SocketSet(const SocketSet &) = delete;
    SocketSet &operator=(const SocketSet &) = delete;

    /** Sets the events that a socket is watched for; none ends the watch. */
    void watch(int socket, loop::Readiness interest);

    /** Removes a socket that is about to be closed. */
    void remove(int socket);

private:
    struct Entry {
        unsigned wantedEvents = 0;
        unsigned registeredEvents = 0;
    };

    void onReady();
    void updateRegistration(int socket, Entry &entry, unsigned events) const;

    loop::EventLoop &loop;
    std::function<void(int, loop::Readiness)> onSocketReady;
    int epollFd;
    std::unordered_map<int, Entry> entries;
};

} // namespace bergamotweir::net
