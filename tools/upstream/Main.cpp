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
constexpr std::chrono::milliseconds AnnounceRetry{20};
constexpr std::chrono::milliseconds AnnounceTimeout{500};
constexpr std::chrono::milliseconds StopCheck{5};
/** For the agent's orders and probes, besides the connections announced. */
constexpr unsigned SpareConnections = 16;
constexpr int BadInput = 2;

/** Says each second that the upstream is there. */
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
        this->stopped = true;
    }

    void announce()
    {
        this->client.send(this->call, [this](const net::CallResult &result) {
            if (this->stopped) {
                return;
            }
            const bool heard = result.outcome == net::CallOutcome::Answered;
            this->timer = this->loop.after(heard ? AnnounceInterval : AnnounceRetry, [this] {
                this->announce();
            });
        });
    }

private:
    loop::EventLoop &loop;
    net::HttpClient client;
    net::HttpCall call;
    loop::TimerId timer = 0;
    bool stopped = false;
};

int fail(const Findings &findings)
{
    std::cerr << toText(findings);
    return BadInput;
}

/** Written whole under another name first, so that a reader never sees half a number. */
void writePortFile(const std::string &path, std::uint16_t port)
{
    if (path.empty()) {
        return;
    }
    const std::string draft = path + ".new";
    std::ofstream(draft) << port << '\n';
    std::filesystem::rename(draft, path);
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
    const net::HttpServerSettings bounds = net::HttpServerSettingsBuilder()
                                               .port(settings.port)
                                               .maxConnections(settings.connections + SpareConnections)
                                               .build()
                                               .value();
    Result<std::unique_ptr<net::HttpServer>> listening =
        net::HttpServer::listen(*loop, bounds, [&](const std::shared_ptr<net::Exchange> &exchange) {
            standIn.onRequest(exchange);
        });
    if (!listening) {
        return fail(listening.error());
    }
    net::HttpServer &server = *listening.value();
    writePortFile(settings.portFile, server.port());
    Announcer announcer(*loop, settings, server.port());
    if (!settings.agent.empty()) {
        announcer.announce();
    }
    loop->onSignal(SIGTERM, [&] {
        announcer.stop();
        standIn.drain();
        loop->every(StopCheck, [&] {
            if (standIn.running() == 0 && server.inProgress() == 0) {
                loop->stop();
            }
        });
    });
    loop->run();
    return 0;
}
