#include "ScriptedPeer.h"
#include "ServerBench.h"

#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "net/PipelineServer.h"
#include "net/Problem.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <utility>

using namespace bergamotweir;
using namespace bergamotweir::net;
using namespace std::chrono_literals;

// Every test runs with both servers, which have the same contract.

TEMPLATE_TEST_CASE("the server passes on requests unchanged and sends answers given at once or later",
                   "",
                   HttpServer,
                   PipelineServer)
{
    const bool later = GENERATE(false, true);
    ServerBench<TestType> bench;
    HttpRequest seen;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        seen = exchange->request();
        const auto answer = [exchange] {
            exchange->answer({.status = 202, .headers = {{"A", "b"}, {"Content-Length", "77"}}, .body = "done"});
        };
        if (later) {
            bench.loop->after(1ms, answer);
        } else {
            answer();
        }
    });
    HttpCall call = bench.call("PATCH");
    call.target = "/s/x/%2F..?a=b&c=%20";
    call.headers = {{"Routing-Key", "key 1"}};
    call.body = std::string(1000, 'b');
    const CallResult result = bench.send(call);
    CHECK(seen.method == "PATCH");
    CHECK(seen.target == call.target);
    CHECK(seen.body == call.body);
    CHECK(*findHeader(seen.headers, "routing-KEY") == "key 1");
    CHECK(seen.peer.substr(0, 10) == "127.0.0.1:");
    CHECK(result.outcome == CallOutcome::Answered);
    CHECK(result.answer.status == 202);
    CHECK(result.answer.body == "done");
    CHECK(*findHeader(result.answer.headers, "A") == "b");
    CHECK(bench.server->inProgress() == 0);
}

// Guards against a ready answer that waits up to a second for the periodic sweep.
TEMPLATE_TEST_CASE("an answer given later is sent at once", "", HttpServer, PipelineServer)
{
    ServerBench<TestType> bench;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        bench.loop->after(1us, [exchange] {
            exchange->answer(textAnswer("now"));
        });
    });
    int remaining = 40;
    std::function<void()> next = [&] {
        bench.client->send(bench.call("GET"), [&](const CallResult &result) {
            CHECK(result.answer.body == "now");
            if (--remaining == 0) {
                bench.loop->stop();
            } else {
                next();
            }
        });
    };
    bench.loop->post(next);
    bench.run();
}

TEMPLATE_TEST_CASE("a request sent a byte at a time is passed on once and complete", "", HttpServer, PipelineServer)
{
    ServerBench<TestType> bench;
    std::vector<std::string> bodies;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        bodies.push_back(exchange->request().body);
        exchange->answer(textAnswer("ok"));
    });
    const std::string bytes = "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody";
    const int socket = bench.connect();
    std::size_t sent = 0;
    std::function<void()> sendNextByte = [&] {
        REQUIRE(::send(socket, &bytes[sent++], 1, MSG_NOSIGNAL) == 1);
        if (sent < bytes.size()) {
            bench.loop->after(100us, sendNextByte);
        }
    };
    bench.loop->post(sendNextByte);
    bench.loop->watch(socket, {.readable = true}, [&](loop::Readiness) {
        bench.loop->stop();
    });
    bench.run();
    bench.loop->unwatch(socket);
    close(socket);
    CHECK(bodies == std::vector<std::string>{"body"});
}

// Guards against a server that stops accepting for good once its limit of connections was reached.
TEMPLATE_TEST_CASE("connections beyond the limit wait and are served when others close", "", HttpServer, PipelineServer)
{
    ServerBench<TestType> bench;
    const HttpServerSettings settings = HttpServerSettingsBuilder().maxConnections(2).build().value();
    bench.server = TestType::listen(*bench.loop, settings, [&](const std::shared_ptr<Exchange> &exchange) {
                       exchange->answer(textAnswer("served"));
                   }).value();
    const std::string_view request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    std::vector<int> sockets;
    std::vector<std::size_t> answered;
    for (std::size_t i = 0; i < 6; ++i) {
        sockets.push_back(bench.connect());
        REQUIRE(::send(sockets[i], request.data(), request.size(), MSG_NOSIGNAL) > 0);
        bench.loop->watch(sockets[i], {.readable = true}, [&, i](loop::Readiness) {
            answered.push_back(i);
            bench.loop->unwatch(sockets[i]);
            // The first two keep their connections open until both have been answered.
            if (answered.size() >= 2) {
                for (const std::size_t done : answered) {
                    close(std::exchange(sockets[done], -1));
                }
                answered.size() == sockets.size() ? bench.loop->stop() : void();
            }
        });
    }
    bench.run();
    CHECK(answered.size() == 6);
}

TEMPLATE_TEST_CASE("an answer to HEAD states the length of the omitted body", "", HttpServer, PipelineServer)
{
    ServerBench<TestType> bench;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        exchange->answer({.status = 200, .headers = {{"Content-Length", "12345"}}, .body = {}});
    });
    const CallResult result = bench.send(bench.call("HEAD"));
    CHECK(result.outcome == CallOutcome::Answered);
    CHECK(result.answer.body.empty());
    CHECK(*findHeader(result.answer.headers, "Content-Length") == "12345");
}

TEMPLATE_TEST_CASE("headers and bodies that are too large are refused with a problem answer and never passed on",
                   "",
                   HttpServer,
                   PipelineServer)
{
    struct Case {
        std::size_t header;
        std::size_t body;
        int status;
    };
    const Case testCase = GENERATE(Case{5000, 0, 431}, Case{12000, 0, 431}, Case{0, 1001, 413}, Case{0, 100000, 413});
    ServerBench<TestType> bench;
    int handlerCalls = 0;
    bench.listen([&](const std::shared_ptr<Exchange> &) {
        ++handlerCalls;
    });
    HttpCall call = bench.call("POST");
    call.headers = {{"Big", std::string(testCase.header, 'h')}};
    call.body = std::string(testCase.body, 'b');
    const CallResult result = bench.send(call);
    INFO(testCase.header << " " << testCase.body);
    CHECK(result.answer.status == testCase.status);
    REQUIRE(findHeader(result.answer.headers, "Request-Ran") != nullptr);
    CHECK(*findHeader(result.answer.headers, "Request-Ran") == "no");
    CHECK(*findHeader(result.answer.headers, "Content-Type") == "application/problem+json");
    CHECK(handlerCalls == 0);
}

TEMPLATE_TEST_CASE("an endless chunked body is bounded", "", HttpServer, PipelineServer)
{
    ServerBench<TestType> bench;
    int handlerCalls = 0;
    bench.listen([&](const std::shared_ptr<Exchange> &) {
        ++handlerCalls;
    });
    const int socket = bench.connect();
    std::string bytes = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 200; ++i) {
        bytes += "400\r\n" + std::string(1024, 'c') + "\r\n";
    }
    REQUIRE(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
    bench.loop->watch(socket, {.readable = true}, [&](loop::Readiness) {
        bench.loop->stop();
    });
    bench.run();
    bench.loop->unwatch(socket);
    close(socket);
    CHECK(handlerCalls == 0);
}

// Guards against a process that ends because a port scanner sends garbage.
TEMPLATE_TEST_CASE("garbage never crashes the server", "", HttpServer, PipelineServer)
{
    constexpr std::uint64_t Seed = 20261202;
    pcg32 random(Seed);
    ServerBench<TestType> bench;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        exchange->answer(textAnswer("alive"));
    });
    const std::vector<std::string> starts = {"",
                                             "GET / HTTP/1.1\r\n",
                                             "GET /\r\n\r\n",
                                             "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
                                             "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
                                             "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFF",
                                             "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"};
    for (int i = 0; i < 200; ++i) {
        std::string bytes = starts[random(static_cast<std::uint32_t>(starts.size()))];
        for (std::uint32_t length = random(600); length > 0; --length) {
            bytes += static_cast<char>(random(256));
        }
        const int socket = bench.connect();
        REQUIRE(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
        close(socket);
    }
    CHECK(bench.send(bench.call("GET")).answer.body == "alive");
}

// Guards against requests that keep their share of an upstream after their callers have left.
TEMPLATE_TEST_CASE("a caller that disconnects before the answer is reported once", "", HttpServer, PipelineServer)
{
    ServerBench<TestType> bench;
    int abandoned = 0;
    std::shared_ptr<Exchange> kept;
    const std::unique_ptr<int> socket = std::make_unique<int>(-1);
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        kept = exchange;
        exchange->onAbandoned([&] {
            ++abandoned;
            bench.loop->after(5ms, [&] {
                bench.loop->stop();
            });
        });
        bench.loop->post([&] {
            CHECK(bench.server->inProgress() == 1);
            close(*socket);
        });
    });
    *socket = bench.connect();
    const std::string_view request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    REQUIRE(::send(*socket, request.data(), request.size(), MSG_NOSIGNAL) > 0);
    bench.run();
    CHECK(abandoned == 1);
    CHECK(kept->isAbandoned());
    CHECK(bench.server->inProgress() == 0);
    kept->answer(textAnswer("too late"));
}

TEMPLATE_TEST_CASE("the server can be destroyed with answers outstanding", "", HttpServer, PipelineServer)
{
    ServerBench<TestType> bench;
    std::shared_ptr<Exchange> kept;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        kept = exchange;
        bench.loop->post([&] {
            bench.server.reset();
            kept->answer(textAnswer("to nobody"));
        });
    });
    const CallResult result = bench.send(bench.call("POST"));
    CHECK(result.outcome == CallOutcome::ConnectionLost);
    CHECK(result.mayHaveRun);
}

TEMPLATE_TEST_CASE("after stopAccepting open connections are closed after their answer and new ones are refused",
                   "",
                   HttpServer,
                   PipelineServer)
{
    ServerBench<TestType> bench;
    std::vector<CallResult> results;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        bench.server->stopAccepting();
        exchange->answer(textAnswer("last"));
    });
    const HttpCall call = bench.call("GET");
    bench.loop->post([&] {
        bench.client->send(call, [&](CallResult result) {
            results.push_back(std::move(result));
            bench.client->send(call, [&](CallResult result) {
                results.push_back(std::move(result));
                bench.loop->stop();
            });
        });
    });
    bench.run();
    CHECK(results[0].answer.body == "last");
    CHECK(results[1].outcome == CallOutcome::NotSent);
}

// Guards against a request that runs and is never answered because its idle connection is closed by a stop.
TEMPLATE_TEST_CASE("a request that crosses the closing of its idle connection is not passed on",
                   "",
                   HttpServer,
                   PipelineServer)
{
    ServerBench<TestType> bench;
    unsigned handedOver = 0;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        ++handedOver;
        exchange->answer({200, {}, "ok"});
    });
    const int caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(bench.server->port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(caller, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0);
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    REQUIRE(send(caller, request.data(), request.size(), MSG_NOSIGNAL) > 0);
    bench.loop->after(200ms, [&] {
        bench.server->stopAccepting();
        REQUIRE(send(caller, request.data(), request.size(), MSG_NOSIGNAL) > 0);
    });
    bench.loop->after(500ms, [&] {
        bench.loop->stop();
    });
    bench.run();
    REQUIRE(handedOver == 1);
    std::string seen;
    char bytes[1000];
    for (ssize_t count = 1; count > 0;) {
        count = recv(caller, bytes, sizeof bytes, MSG_DONTWAIT);
        seen.append(bytes, count > 0 ? static_cast<std::size_t>(count) : 0);
        REQUIRE((count >= 0 || errno != EAGAIN));
    }
    REQUIRE(seen.find("ok") != std::string::npos);
    close(caller);
}
