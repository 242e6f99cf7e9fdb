#pragma once

#include "loop/EventLoop.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"

#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bergamotweir::test {

/**
 * A stand-in worker of the users' machines: it serves a numbered key only while it holds it, and tells its agent in
 * heartbeats what it holds. Runs on a thread of its own until it is destroyed.
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
        /** IP:port that heartbeats go to. */
        std::string control;
        /** Whether it gets its keys by calls, and says nothing of them in its heartbeats. */
        bool grantsByCall = false;
    };

    explicit PlatformWorker(Settings settings);
    ~PlatformWorker();
    PlatformWorker(const PlatformWorker &) = delete;
    PlatformWorker &operator=(const PlatformWorker &) = delete;

    /** @return rows of first key, last key and epoch that it holds now */
    std::vector<std::array<std::uint64_t, 3>> held();

    /** Requests that it ran. */
    std::atomic<unsigned> ran{0};
    /** Requests that it refused because it held no such key. */
    std::atomic<unsigned> misdirected{0};

private:
    void run();
    void beat();
    void serve(const std::shared_ptr<net::Exchange> &exchange);
    bool holds(std::uint64_t key);
    net::HttpAnswer grant(const nlohmann::json &order);
    net::HttpAnswer release(const nlohmann::json &order);

    /** Keys that it holds by a call. */
    struct CalledHold {
        std::array<std::uint64_t, 3> row;
        std::chrono::steady_clock::time_point until;
    };

    const Settings settings;
    std::mutex mutex;
    std::vector<std::array<std::uint64_t, 3>> rows;
    std::vector<CalledHold> called;
    nlohmann::json freed = nlohmann::json::array();
    std::chrono::steady_clock::time_point heldUntil;
    std::uint64_t sequence = 0;
    std::uint64_t born = 0;
    std::unique_ptr<loop::EventLoop> loop;
    std::unique_ptr<net::HttpServer> server;
    std::unique_ptr<net::HttpClient> client;
    std::thread thread;
};

} // namespace bergamotweir::test
