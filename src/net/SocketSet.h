#pragma once

#include "loop/EventLoop.h"

#include <functional>
#include <unordered_map>

namespace bergamotweir::net {

/**
 * The sockets of one HttpClient, in an epoll set of their own that the event loop watches as a whole.
 * libcurl starts and ends its interest in a kept connection for each request; telling the kernel each time cost four
 * system calls a request. Here an ended interest is told to the kernel only if the socket then becomes ready.
 */
class SocketSet
{
public:
    /** @param ready called on the loop's thread with a socket and what it is ready for */
    SocketSet(loop::EventLoop &loop, std::function<void(int, loop::Readiness)> ready);
    ~SocketSet();
    SocketSet(const SocketSet &) = delete;
    SocketSet &operator=(const SocketSet &) = delete;

    /** Sets what a socket is watched for; nothing ends the watch. */
    void watch(int socket, loop::Readiness interest);

    /** Forgets a socket that is about to be closed. */
    void forget(int socket);

private:
    struct Entry {
        unsigned wanted = 0;
        unsigned registered = 0;
    };

    void onReady();
    void enter(int socket, Entry &entry, unsigned events) const;

    loop::EventLoop &loop;
    std::function<void(int, loop::Readiness)> ready;
    int set;
    std::unordered_map<int, Entry> entries;
};

} // namespace bergamotweir::net
