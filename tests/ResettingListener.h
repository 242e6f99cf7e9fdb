#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace bergamotweir::test {

/** A port on loopback that accepts connections and resets each at once, as a process that is full does. */
class ResettingListener
{
public:
    ResettingListener();
    ~ResettingListener();
    ResettingListener(const ResettingListener &) = delete;
    ResettingListener &operator=(const ResettingListener &) = delete;

    /** @return IP:port to connect to; refused after stop() */
    std::string address() const;

    /** Stops listening. */
    void stop();

    /** @return connections reset so far */
    unsigned resets() const;

private:
    int socket;
    std::uint16_t port = 0;
    std::atomic<unsigned> resetCount{0};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace bergamotweir::test
