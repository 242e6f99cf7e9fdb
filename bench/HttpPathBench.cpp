#include "base/BootClock.h"
#include "loop/EventLoop.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"

#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

using namespace bergamotweir;
using namespace bergamotweir::net;

namespace {

std::chrono::microseconds processorTime()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return std::chrono::seconds(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
           + std::chrono::microseconds(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

/** Calls a server in the same process with a fixed concurrency until all calls are made. */
struct CallLoop {
    loop::EventLoop &loop;
    HttpClient &client;
    HttpCall call;
    unsigned callsLeft;
    unsigned inProgress = 0;
    std::vector<std::chrono::nanoseconds> latencies;

    void sendNext()
    {
        if (this->callsLeft == 0) {
            if (this->inProgress == 0) {
                this->loop.stop();
            }
            return;
        }
        --this->callsLeft;
        ++this->inProgress;
        this->client.send(this->call, [this](const CallResult &result) {
            if (result.outcome != CallOutcome::Answered) {
                std::fprintf(stderr, "call ended: %s\n", toText(result.outcome));
                std::abort();
            }
            --this->inProgress;
            this->latencies.push_back(result.elapsed);
            this->sendNext();
        });
    }
};

} // namespace

/** Usage: HttpPathBench [requests] [concurrency]. Each request is one client call and one server request, in one
 * process. */
int main(int argc, char **argv)
{
    constexpr unsigned DefaultRequests = 100000;
    const unsigned requests = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : DefaultRequests;
    const unsigned concurrency = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 16;
    const auto loop = loop::EventLoop::create().value();
    HttpClient client(*loop);
    const auto server =
        HttpServer::listen(*loop,
                           HttpServerSettingsBuilder().build().value(),
                           [&](const std::shared_ptr<Exchange> &exchange) {
                               // Answers in a later iteration of the event loop, as an agent does.
                               loop->post([exchange] {
                                   exchange->answer({.status = 200, .headers = {{"A", "b"}}, .body = "hello"});
                               });
                           })
            .value();
    HttpCall call;
    call.address = "127.0.0.1:" + std::to_string(server->port());
    call.target = "/s/catalogue/item?x=1";
    call.headers = {{"Routing-Key", "key-1"}, {"Request-Timeout", "1000"}, {"Accept", "*/*"}, {"User-Agent", "bench"}};
    CallLoop run{*loop, client, call, requests, 0, {}};
    loop->post([&] {
        for (unsigned i = 0; i < concurrency; ++i) {
            run.sendNext();
        }
    });
    const auto processorBefore = processorTime();
    const BootTime startedAt = BootClock::now();
    loop->run();
    const double seconds = std::chrono::duration<double>(BootClock::now() - startedAt).count();
    const double processorMicroseconds = static_cast<double>((processorTime() - processorBefore).count());
    std::sort(run.latencies.begin(), run.latencies.end());
    const auto at = [&](double share) {
        return static_cast<double>(run.latencies[static_cast<std::size_t>(share * (requests - 1))].count()) / 1000;
    };
    std::printf("requests %u at once %u: %.0f/s, processor %.1f us per call and request, p50 %.0f us, p99 %.0f us\n",
                requests,
                concurrency,
                requests / seconds,
                processorMicroseconds / requests,
                at(0.5),
                at(0.99));
    return 0;
}
