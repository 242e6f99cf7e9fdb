#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace bergamotweir::test {

/** Callers that send the same request again on each of their connections as soon as it is answered. */
class RequestFlood
{
public:
    /**
     * Connects and starts to send, on a thread of its own.
     * @param address IP:port
     * @param request bytes of one request
     */
    RequestFlood(const std::string &address, std::size_t connections, std::string request);
    ~RequestFlood();
    RequestFlood(const RequestFlood &) = delete;
    RequestFlood &operator=(const RequestFlood &) = delete;

    /** @return answers received so far, counted by reads */
    std::size_t answers() const;

private:
    int connect() const;
    void run();

    std::string ip;
    std::string port;
    std::string request;
    std::vector<int> sockets;
    std::atomic<std::size_t> answerCount{0};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

/** Stops a process for nine tenths of the time by signals, as if it had a tenth of a core. */
class Throttle
{
public:
    explicit Throttle(int pid);
    /** Lets the process run. */
    ~Throttle();
    Throttle(const Throttle &) = delete;
    Throttle &operator=(const Throttle &) = delete;

private:
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace bergamotweir::test
