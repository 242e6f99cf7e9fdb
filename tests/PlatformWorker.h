#pragma once

#include "loop/EventLoop.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"

#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bergamotweir::test {

/**
 * Fake worker of the users' machines. Serves a numbered key only while it holds the key, and reports its keys to the
 * agent in heartbeats. Runs on its own thread until it is destroyed.
 */
class PlatformWorker
{
public:
    struct Settings {
        std::string id;
        std::string service;
        std::string zone;
        std::string address;
        std::uint16_t port = 0;
        /** IP:PORT of the agent that receives the heartbeats. */
        std::string control;
        /** Whether keys are granted by calls; heartbeats don't report keys then. */
        bool grantsByCall = false;
        /** Time between two heartbeats; the first one is sent 150 ms after the start. */
        std::chrono::milliseconds heartbeatInterval{150};
    };

    explicit PlatformWorker(Settings settings);
    ~PlatformWorker();
    PlatformWorker(const PlatformWorker &) = delete;
    PlatformWorker &operator=(const PlatformWorker &) = delete;

    /** @return rows of first key, last key and epoch that are held now */
    std::vector<std::array<std::uint64_t, 3>> held();

    /** @return the start that the worker states in its heartbeats, as Unix time */
    std::chrono::milliseconds startedAt() const;

    /** A request that arrived. */
    struct Arrival {
        std::chrono::steady_clock::time_point time;
        std::string requestId;
    };

    /** @return all requests that arrived, refused ones included */
    std::vector<Arrival> arrivals();

    /** Stated in each answer as the rate limit; none if below 0. */
    std::atomic<double> rateLimit{-1};
    /** How long the worker works on a request. */
    std::atomic<std::chrono::milliseconds> workTime{std::chrono::milliseconds(0)};
    /** Whether each answer states that the worker is leaving. Heartbeats don't report it. */
    std::atomic<bool> isLeaving{false};

    /** Number of requests served. */
    std::atomic<unsigned> ran{0};
    /** Number of requests refused because the key was not held or the request was for another process. */
    std::atomic<unsigned> misdirected{0};

private:
    void run();
    void sendHeartbeat();
    void serve(const std::shared_ptr<net::Exchange> &exchange);
    bool holds(std::uint64_t key);
    net::HttpAnswer grant(const nlohmann::json &order);
    net::HttpAnswer release(const nlohmann::json &order);

    /** Range of keys granted by a call. */
    struct GrantedRange {
        std::array<std::uint64_t, 3> row;
        std::chrono::steady_clock::time_point until;
    };

    const Settings settings;
    std::mutex mutex;
    std::vector<std::array<std::uint64_t, 3>> rows;
    std::vector<GrantedRange> grantedRanges;
    std::vector<Arrival> arrived;
    nlohmann::json releasedRows = nlohmann::json::array();
    std::chrono::steady_clock::time_point heldUntil;
    std::uint64_t sequence = 0;
    std::uint64_t startedAtMs = 0;
    std::unique_ptr<loop::EventLoop> loop;
    std::unique_ptr<net::HttpServer> server;
    std::unique_ptr<net::HttpClient> client;
    std::thread thread;
};

} // namespace bergamotweir::test
