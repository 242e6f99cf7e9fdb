#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace bergamotweir::test {

/** Forwards TCP connections to a port on loopback, on a thread of its own, and stalls them when told to. */
class LoopbackProxy
{
public:
    /** @param target IP:port on loopback that connections are forwarded to */
    explicit LoopbackProxy(const std::string &target);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    /** @return IP:port to connect to */
    std::string address() const;

    /** Forwards nothing more on the connections that exist, and leaves them open; later connections work. */
    void stallConnections();

    /** @return connections accepted so far */
    int accepted() const;

private:
    struct Connection {
        int caller = -1;
        int target = -1;
        /** Number of stallConnections() calls before it was accepted. */
        unsigned generation = 0;
    };

    void run();
    void accept();
    /** @return false once either side has closed */
    static bool forward(int from, int to);

    std::uint16_t targetPort;
    int listener;
    std::uint16_t port = 0;
    std::atomic<unsigned> stalls{0};
    std::atomic<int> acceptedCount{0};
    std::atomic<bool> stopping{false};
    std::vector<Connection> connections;
    std::thread thread;
};

} // namespace bergamotweir::test
