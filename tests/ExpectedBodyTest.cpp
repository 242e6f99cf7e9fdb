#include "ServerBench.h"
#include "net/HttpServer.h"

#include <catch2/catch.hpp>
#include <unistd.h>

using namespace bergamotweir;
using namespace bergamotweir::net;
using namespace std::chrono_literals;

namespace {

HttpCall announcedCall(const ServerBench<HttpServer> &bench, std::size_t bytes = 900)
{
    HttpCall call = bench.call("POST");
    call.body = std::string(bytes, 'b');
    call.expectContinue = true;
    return call;
}

HttpAnswer unavailable()
{
    return {.status = 503, .headers = {{"Request-Ran", "no"}}, .body = {}};
}

} // namespace

TEST_CASE("a held body is sent once it may proceed, and the handler gets it whole")
{
    ServerBench<HttpServer> bench;
    std::size_t handled = 0;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        handled = exchange->request().body.size();
        exchange->answer(textAnswer("done"));
    });
    std::size_t announced = 0;
    std::vector<bool> ended;
    bench.server->admitBodies([&](const std::shared_ptr<ExpectedBody> &body) -> std::optional<HttpAnswer> {
        announced = body->length();
        CHECK(body->head().body.empty());
        body->onEnded([&](bool whole) {
            ended.push_back(whole);
        });
        bench.loop->after(30ms, [&, body] {
            CHECK(handled == 0);
            body->proceed();
        });
        return std::nullopt;
    });
    const CallResult result = bench.send(announcedCall(bench));
    CHECK(result.outcome == CallOutcome::Answered);
    CHECK(result.answer.status == 200);
    CHECK(result.elapsed < 1s);
    CHECK(announced == 900);
    CHECK(handled == 900);
    CHECK(ended == std::vector<bool>{true});
}

// Guards against bodies that are sent over a link only to be refused afterwards.
TEST_CASE("a body is refused before it is sent, at once or after a wait")
{
    const bool later = GENERATE(false, true);
    ServerBench<HttpServer> bench;
    bool handled = false;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        handled = true;
        exchange->answer(textAnswer("done"));
    });
    bench.server->admitBodies([&](const std::shared_ptr<ExpectedBody> &body) -> std::optional<HttpAnswer> {
        if (!later) {
            return unavailable();
        }
        bench.loop->after(20ms, [body] {
            body->refuse(unavailable());
        });
        return std::nullopt;
    });
    const CallResult result = bench.send(announcedCall(bench));
    CHECK(result.outcome == CallOutcome::Answered);
    CHECK(result.answer.status == 503);
    REQUIRE(findHeader(result.answer.headers, "Request-Ran") != nullptr);
    CHECK(*findHeader(result.answer.headers, "Request-Ran") == "no");
    CHECK(result.elapsed < 1s);
    CHECK_FALSE(handled);
    const CallResult next = bench.send(bench.call("GET"));
    CHECK(next.answer.status == 200);
}

// Guards against link capacity that stays reserved for callers that disconnected while their body was held.
TEST_CASE("a caller that disconnects while its body is held ends the body")
{
    ServerBench<HttpServer> bench;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        exchange->answer(textAnswer("done"));
    });
    std::vector<bool> ended;
    std::shared_ptr<ExpectedBody> held;
    bench.server->admitBodies([&](const std::shared_ptr<ExpectedBody> &body) -> std::optional<HttpAnswer> {
        held = body;
        body->onEnded([&](bool whole) {
            ended.push_back(whole);
            bench.loop->stop();
        });
        return std::nullopt;
    });
    HttpCall call = announcedCall(bench);
    call.timeout = 100ms;
    bench.loop->post([&] {
        bench.client->send(call, [](const CallResult &) {});
    });
    bench.run();
    CHECK(ended == std::vector<bool>{false});
    held->proceed();
    held->refuse(unavailable());
}

TEST_CASE("a server that is destroyed while a body is held reports the body as ended")
{
    ServerBench<HttpServer> bench;
    bench.listen([&](const std::shared_ptr<Exchange> &) {});
    std::vector<bool> ended;
    bench.server->admitBodies([&](const std::shared_ptr<ExpectedBody> &body) -> std::optional<HttpAnswer> {
        body->onEnded([&](bool whole) {
            ended.push_back(whole);
        });
        bench.loop->post([&] {
            bench.loop->stop();
        });
        return std::nullopt;
    });
    bench.loop->post([&] {
        bench.client->send(announcedCall(bench), [](const CallResult &) {});
    });
    bench.run();
    bench.server.reset();
    CHECK(ended == std::vector<bool>{false});
}

// Guards against a body that exceeds its stated length or the server's bound after it was admitted.
TEST_CASE("an announced body that is too large is refused like any other")
{
    ServerBench<HttpServer> bench;
    bool handled = false;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        handled = true;
        exchange->answer(textAnswer("done"));
    });
    bench.server->admitBodies([&](const std::shared_ptr<ExpectedBody> &body) -> std::optional<HttpAnswer> {
        body->proceed();
        return std::nullopt;
    });
    const CallResult result = bench.send(announcedCall(bench, 2000));
    CHECK(result.answer.status == 413);
    CHECK_FALSE(handled);
}
