#include "ServerBench.h"

#include "net/PipelineServer.h"

#include <unistd.h>

using namespace bergamotweir;
using namespace bergamotweir::net;
using namespace std::chrono_literals;

namespace {

/** Sends @p bytes and reads until @p isEnough returns true for what was received, or the connection is closed. */
std::string sendAndReceive(ServerBench<PipelineServer> &bench,
                           const std::string &bytes,
                           const std::function<bool(const std::string &)> &isEnough)
{
    const int socket = bench.connect();
    REQUIRE(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
    std::string seen;
    bench.loop->watch(socket, {.readable = true}, [&](loop::Readiness) {
        std::array<char, 4096> part{};
        const ssize_t count = recv(socket, part.data(), part.size(), MSG_DONTWAIT);
        seen.append(part.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
        if (count == 0 || isEnough(seen)) {
            bench.loop->stop();
        }
    });
    bench.run();
    bench.loop->unwatch(socket);
    close(socket);
    return seen;
}

std::string get(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

std::string post(const std::string &path)
{
    return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against pipelined reads that are late because they are processed one after the other.
TEST_CASE("pipelined safe requests are processed concurrently and answered in their order")
{
    ServerBench<PipelineServer> bench;
    std::vector<std::shared_ptr<Exchange>> held;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        held.push_back(exchange);
        if (held.size() == 3) {
            // The last one is answered first and must wait for the other answers.
            for (const std::size_t index : {2U, 0U, 1U}) {
                held[index]->answer(textAnswer("for " + held[index]->request().target));
            }
        }
    });
    const std::string seen =
        sendAndReceive(bench, get("/one") + get("/two") + get("/three"), [](const std::string &text) {
            return contains(text, "for /three");
        });
    CHECK(held.size() == 3);
    CHECK(seen.find("for /one") < seen.find("for /two"));
    CHECK(seen.find("for /two") < seen.find("for /three"));
    CHECK(bench.server->inProgress() == 0);
}

// Guards against a read that returns the state from before an order pipelined ahead of it.
TEST_CASE("an unsafe request waits for those before it and delays those behind it")
{
    ServerBench<PipelineServer> bench;
    std::vector<std::string> started;
    std::vector<std::shared_ptr<Exchange>> held;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        started.push_back(exchange->request().target);
        held.push_back(exchange);
        bench.loop->after(1ms, [&, number = held.size() - 1] {
            CHECK(held.size() == number + 1);
            held[number]->answer(textAnswer("for " + held[number]->request().target));
        });
    });
    sendAndReceive(bench, get("/before") + post("/order") + get("/after"), [](const std::string &text) {
        return contains(text, "for /after");
    });
    CHECK(started == std::vector<std::string>{"/before", "/order", "/after"});
}

// Guards against an answer that is cut off while its caller reads it slowly.
TEST_CASE("a stop sends the rest of an answer that is being read before it closes the connection")
{
    constexpr std::size_t BodyBytes = std::size_t{8} * 1024 * 1024;
    ServerBench<PipelineServer> bench;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        exchange->answer(textAnswer(std::string(BodyBytes, 'x')));
    });
    const int socket = bench.connect();
    const std::string request = get("/large");
    REQUIRE(::send(socket, request.data(), request.size(), MSG_NOSIGNAL) > 0);
    std::size_t received = 0;
    bench.loop->after(50ms, [&] {
        bench.server->stopAccepting();
        CHECK(bench.server->inProgress() == 1);
    });
    bench.loop->after(100ms, [&] {
        bench.loop->watch(socket, {.readable = true}, [&](loop::Readiness) {
            std::array<char, 65536> part{};
            const ssize_t count = recv(socket, part.data(), part.size(), MSG_DONTWAIT);
            received += count > 0 ? static_cast<std::size_t>(count) : 0;
            if (count == 0 || (count < 0 && errno != EAGAIN)) {
                bench.loop->stop();
            }
        });
    });
    bench.run();
    bench.loop->unwatch(socket);
    close(socket);
    CHECK(received > BodyBytes);
    CHECK(bench.server->inProgress() == 0);
}

// Guards against requests that run twice because they were processed behind an answer that closes the connection.
TEST_CASE("a stop answers requests in progress, then closes the connection and drops those waiting behind")
{
    ServerBench<PipelineServer> bench;
    std::vector<std::string> started;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        started.push_back(exchange->request().target);
        bench.loop->after(5ms, [&, exchange] {
            bench.server->stopAccepting();
            CHECK(bench.server->inProgress() == 1);
            exchange->answer(textAnswer("for " + exchange->request().target));
        });
    });
    const std::string seen =
        sendAndReceive(bench, post("/order") + get("/behind") + get("/further"), [](const std::string &) {
            return false;
        });
    CHECK(started == std::vector<std::string>{"/order"});
    CHECK(contains(seen, "Connection: close"));
    CHECK(contains(seen, "for /order"));
    CHECK_FALSE(contains(seen, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 11"));
    CHECK(bench.server->inProgress() == 0);
}

// Guards against work that goes on for a caller that has disconnected.
TEST_CASE("a caller that disconnects abandons each of its pipelined requests")
{
    ServerBench<PipelineServer> bench;
    int abandoned = 0;
    int socket = -1;
    std::vector<std::shared_ptr<Exchange>> held;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        held.push_back(exchange);
        exchange->onAbandoned([&] {
            if (++abandoned == 3) {
                bench.loop->stop();
            }
        });
        if (held.size() == 3) {
            close(socket);
        }
    });
    socket = bench.connect();
    const std::string bytes = get("/one") + get("/two") + get("/three");
    REQUIRE(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
    bench.run();
    CHECK(abandoned == 3);
    CHECK(bench.server->inProgress() == 0);
}

// Guards against request smuggling by a message with two framings.
TEST_CASE("messages with ambiguous framing are refused and their connection is closed")
{
    const std::string fields = GENERATE("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                                        "Content-Length: 4\r\nContent-Length: 5\r\n",
                                        "Transfer-Encoding: gzip, identity\r\n",
                                        "Content-Length : 4\r\n");
    ServerBench<PipelineServer> bench;
    int handlerCalls = 0;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        ++handlerCalls;
        exchange->answer(textAnswer("ran"));
    });
    const std::string hidden = "0\r\n\r\n" + get("/hidden");
    const std::string seen =
        sendAndReceive(bench, "POST / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n" + hidden, [](const std::string &) {
            return false;
        });
    INFO(fields);
    CHECK(contains(seen, "HTTP/1.1 400"));
    CHECK_FALSE(contains(seen, "ran"));
    CHECK(handlerCalls == 0);
}

TEST_CASE("100 Continue is sent after the answers to earlier requests")
{
    ServerBench<PipelineServer> bench;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        exchange->answer(textAnswer("for " + exchange->request().target));
    });
    const std::string seen = sendAndReceive(
        bench,
        get("/before") + "POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n",
        [](const std::string &text) {
            return contains(text, "100 Continue");
        });
    CHECK(seen.find("for /before") < seen.find("100 Continue"));
}

TEST_CASE("the number of pipelined requests in progress is bounded")
{
    ServerBench<PipelineServer> bench;
    constexpr std::size_t Sent = 500;
    std::size_t maxOpen = 0;
    std::size_t open = 0;
    std::size_t done = 0;
    bench.listen([&](const std::shared_ptr<Exchange> &exchange) {
        maxOpen = std::max(maxOpen, ++open);
        bench.loop->post([&, exchange] {
            --open;
            ++done;
            exchange->answer(textAnswer(done == Sent ? "the last" : "one"));
        });
    });
    std::string bytes;
    for (std::size_t count = 0; count < Sent; ++count) {
        bytes += get("/flood");
    }
    sendAndReceive(bench, bytes, [](const std::string &text) {
        return contains(text, "the last");
    });
    CHECK(done == Sent);
    CHECK(maxOpen <= 32);
}
