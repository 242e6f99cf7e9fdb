#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <thread>
#include <vector>

namespace bergamotweir::test {

/** Forwards TCP connections to a port on loopback on its own thread, and can stall them. */
class LoopbackProxy
{
public:
    /**
     * @param target IP:port on loopback that connections are forwarded to
     * @param delay latency in each direction
     */
    explicit LoopbackProxy(const std::string &target, std::chrono::milliseconds delay = std::chrono::milliseconds(0));
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    /** @return IP:port to connect to */
    std::string address() const;

    /** Stops forwarding on the existing connections but leaves them open; later connections are forwarded. */
    void stallConnections();

    /** @return the number of connections accepted so far */
    int accepted() const;

private:
    /** Bytes to be sent to a socket at a given time. */
    struct Delayed {
        int to = -1;
        std::chrono::steady_clock::time_point due;
        std::string bytes;
    };

    struct Connection {
        int caller = -1;
        int target = -1;
        /** Number of stallConnections() calls before it was accepted. */
        unsigned generation = 0;
    };

    void run();
    void accept();
    /** @return false if the connection has been closed or has failed */
    bool forward(int from, int to);
    void sendDue();
    void closeBoth(const Connection &connection);

    std::uint16_t targetPort;
    const std::chrono::milliseconds delay;
    int listener;
    std::uint16_t port = 0;
    std::atomic<unsigned> stalls{0};
    std::atomic<int> acceptedCount{0};
    std::atomic<bool> stopping{false};
    std::vector<Connection> connections;
    std::deque<Delayed> delayed;
    std::thread thread;
};

} // namespace bergamotweir::test
