#include "StandIn.h"

#include "net/HttpClient.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

using namespace bergamotweir;
using namespace bergamotweir::upstream;

namespace {

constexpr std::chrono::milliseconds AnnounceInterval{1000};
constexpr std::chrono::milliseconds AnnounceBackoff{20};
constexpr std::chrono::milliseconds AnnounceTimeout{500};
constexpr std::chrono::milliseconds StopCheckInterval{5};
/** Connections for the agent's orders and probes, in addition to those announced. */
constexpr unsigned SpareConnections = 16;
constexpr int BadInputExitCode = 2;

/** Announces the upstream to its agent every second; retries sooner when the agent does not answer. */
class Announcer
{
public:
    Announcer(loop::EventLoop &loop, const UpstreamSettings &settings, std::uint16_t port)
        : loop(loop)
        , client(loop)
    {
        this->call.address = settings.agent;
        this->call.method = "POST";
        this->call.target = "/announce";
        this->call.headers = {{"Content-Type", "application/json"}};
        this->call.timeout = AnnounceTimeout;
        this->call.body = nlohmann::json{{"service", settings.service},
                                         {"name", settings.name},
                                         {"port", port},
                                         {"incarnation",
                                          std::to_string(std::random_device()())
                                              + std::to_string(BootClock::now().time_since_epoch().count())},
                                         {"slots", settings.slots},
                                         {"connections", settings.connections},
                                         {"checks_grants", settings.checksGrants}}
                              .dump();
    }

    void stop()
    {
        this->loop.cancel(this->timer);
        this->isStopped = true;
    }

    void announce()
    {
        this->client.send(this->call, [this](const net::CallResult &result) {
            if (this->isStopped) {
                return;
            }
            const bool isAnswered = result.outcome == net::CallOutcome::Answered;
            this->timer = this->loop.after(isAnswered ? AnnounceInterval : AnnounceBackoff, [this] {
                this->announce();
            });
        });
    }

private:
    loop::EventLoop &loop;
    net::HttpClient client;
    net::HttpCall call;
    loop::TimerId timer = 0;
    bool isStopped = false;
};

int fail(const Findings &findings)
{
    std::cerr << toText(findings);
    return BadInputExitCode;
}

/** Writes the file under another name and renames it, so that a reader never sees a partial number. */
void writePortFile(const std::string &path, std::uint16_t port)
{
    if (path.empty()) {
        return;
    }
    const std::string temporaryPath = path + ".new";
    std::ofstream(temporaryPath) << port << '\n';
    std::filesystem::rename(temporaryPath, path);
}

} // namespace

int main(int argc, char **argv)
{
    const Result<UpstreamSettings> parsed = parseSettings(argc, argv);
    if (!parsed) {
        return fail(parsed.error());
    }
    const UpstreamSettings &settings = parsed.value();
    Result<std::unique_ptr<Ledger>> ledger = Ledger::open(settings.ledger, settings.name);
    if (!ledger) {
        return fail(ledger.error());
    }
    const std::unique_ptr<loop::EventLoop> loop = loop::EventLoop::create().value();
    StandIn standIn(*loop, settings, std::move(ledger.value()));
    const net::HttpServerSettings serverSettings = net::HttpServerSettingsBuilder()
                                                       .port(settings.port)
                                                       .maxConnections(settings.connections + SpareConnections)
                                                       .build()
                                                       .value();
    Result<std::unique_ptr<net::HttpServer>> listenResult =
        net::HttpServer::listen(*loop, serverSettings, [&](const std::shared_ptr<net::Exchange> &exchange) {
            standIn.onRequest(exchange);
        });
    if (!listenResult) {
        return fail(listenResult.error());
    }
    net::HttpServer &server = *listenResult.value();
    writePortFile(settings.portFile, server.port());
    Announcer announcer(*loop, settings, server.port());
    if (!settings.agent.empty()) {
        announcer.announce();
    }
    loop->onSignal(SIGTERM, [&] {
        announcer.stop();
        standIn.drain();
        loop->every(StopCheckInterval, [&] {
            if (standIn.running() == 0 && server.inProgress() == 0) {
                loop->stop();
            }
        });
    });
    loop->run();
    return 0;
}
