#include "DescriptorShortage.h"
#include "ResettingListener.h"
#include "ScriptedPeer.h"

#include "net/HttpClient.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace bergamotweir;
using namespace bergamotweir::net;
using namespace std::chrono_literals;
using test::PeerConnection;
using test::ScriptedPeer;

namespace {

const std::string Plain = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
const std::string Chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";

struct Bench {
    std::unique_ptr<loop::EventLoop> loop = loop::EventLoop::create().value();
    std::unique_ptr<HttpClient> client = std::make_unique<HttpClient>(*this->loop);
    bool hasTimedOut = false;

    void run()
    {
        this->loop->after(20s, [this] {
            this->hasTimedOut = true;
            this->loop->stop();
        });
        this->loop->run();
        REQUIRE_FALSE(this->hasTimedOut);
    }
};

HttpCall callTo(const std::string &address, const std::string &method)
{
    HttpCall call;
    call.address = address;
    call.method = method;
    call.timeout = 5s;
    if (method == "POST") {
        call.body = "amount=1";
    }
    return call;
}

/** Sends calls one after another and returns their results. */
std::vector<CallResult> sendSequentially(Bench &bench, std::vector<HttpCall> calls)
{
    std::vector<CallResult> results;
    std::function<void()> next = [&] {
        if (results.size() == calls.size()) {
            bench.loop->stop();
            return;
        }
        bench.client->send(calls[results.size()], [&](CallResult result) {
            results.push_back(std::move(result));
            next();
        });
    };
    bench.loop->post(next);
    bench.run();
    return results;
}

} // namespace

TEST_CASE("a request is sent unchanged, and its complete answer is returned")
{
    Bench bench;
    std::string seen;
    ScriptedPeer peer(*bench.loop, [&](PeerConnection &connection) {
        seen = connection.received;
        connection.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nUpstream-Load: 0.5\r\nConnection: "
                        "keep-alive\r\nContent-Length: 2\r\n\r\nok");
    });
    HttpCall call = callTo(peer.address(), "POST");
    call.target = "/s/x/../%2e?q=%20#";
    call.headers = {{"Routing-Key", "k"},
                    {"Empty", ""},
                    {"Connection", "close"},
                    {"Content-Length", "99"},
                    {"Bad", "x\r\nInjected: 1"}};
    const CallResult result = sendSequentially(bench, {call}).front();
    CHECK(seen
          == "POST /s/x/../%2e?q=%20# HTTP/1.1\r\nHost: " + peer.address()
                 + "\r\nRouting-Key: k\r\nEmpty:\r\nContent-Length: 8\r\n\r\namount=1");
    CHECK(result.outcome == CallOutcome::Answered);
    CHECK(result.answer.status == 201);
    CHECK(result.answer.body == "ok");
    CHECK(result.answer.headers == std::vector<Header>{{"Upstream-Load", "0.5"}});
}

TEST_CASE("a call whose connection is refused is reported as not sent")
{
    Bench bench;
    std::string address;
    {
        const ScriptedPeer closedPeer(*bench.loop, [](PeerConnection &) {});
        address = closedPeer.address();
    }
    const CallResult result = sendSequentially(bench, {callTo(address, "POST")}).front();
    CHECK(result.outcome == CallOutcome::NotSent);
    CHECK(result.isRefused);
    CHECK_FALSE(result.mayHaveRun);
}

TEST_CASE("a call whose connection is reset does not count as refused")
{
    Bench bench;
    test::ResettingListener listener;
    const std::vector<HttpCall> calls(20, callTo(listener.address(), "GET"));
    for (const CallResult &result : sendSequentially(bench, calls)) {
        CHECK(result.outcome != CallOutcome::Answered);
        CHECK_FALSE(result.isRefused);
    }
}

// Guards against a peer taken for ended because this process has no descriptor for a connection to it.
TEST_CASE("a call for which no socket can be opened does not count as refused, also after one that was")
{
    Bench bench;
    std::string refusedAddress;
    {
        const ScriptedPeer closedPeer(*bench.loop, [](PeerConnection &) {});
        refusedAddress = closedPeer.address();
    }
    const ScriptedPeer livePeer(*bench.loop, [](PeerConnection &connection) {
        connection.send(Plain);
    });
    REQUIRE(sendSequentially(bench, {callTo(refusedAddress, "GET")}).front().isRefused);
    CHECK_FALSE(sendSequentially(bench, {callTo("127.0.0.1:99999", "GET")}).front().isRefused);
    CallResult result;
    {
        // The socket is opened at once. The shortage is short, as sanitizers need descriptors for types not seen
        // before.
        const test::DescriptorShortage shortage;
        bench.client->send(callTo(livePeer.address(), "GET"), [&](CallResult received) {
            result = std::move(received);
            bench.loop->stop();
        });
    }
    bench.run();
    CHECK(result.outcome == CallOutcome::NotSent);
    CHECK_FALSE(result.isRefused);
}

// Guards against a request that runs long after its caller has given it up, because it hung in a connection.
TEST_CASE("a call that times out or is cancelled resets its connection, so that bytes on their way are dropped")
{
    const bool isCancelled = GENERATE(false, true);
    Bench bench;
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof bound;
    REQUIRE(bind(listener, reinterpret_cast<sockaddr *>(&bound), size) == 0);
    REQUIRE(listen(listener, 4) == 0);
    REQUIRE(getsockname(listener, reinterpret_cast<sockaddr *>(&bound), &size) == 0);
    HttpCall call = callTo("127.0.0.1:" + std::to_string(ntohs(bound.sin_port)), "POST");
    call.timeout = isCancelled ? 5s : 200ms;
    // More than the peer's buffer takes, so that the rest waits in this socket as it does behind a cut.
    call.body = std::string(16UL << 20U, 'x');
    CallOutcome outcome = CallOutcome::Answered;
    const CallId id = bench.client->send(call, [&](const CallResult &result) {
        outcome = result.outcome;
        bench.loop->stop();
    });
    bench.loop->after(100ms, [&] {
        if (isCancelled) {
            bench.client->cancel(id);
        }
    });
    bench.run();
    CHECK(outcome == (isCancelled ? CallOutcome::Cancelled : CallOutcome::TimedOut));
    const int accepted = accept(listener, nullptr, nullptr);
    std::vector<char> bytes(1UL << 20U);
    ssize_t received = 0;
    do {
        received = recv(accepted, bytes.data(), bytes.size(), 0);
    } while (received > 0);
    CHECK(received == -1);
    close(accepted);
    close(listener);
}

// Guards against a truncated answer taken for a whole one, and a POST that libcurl sends again by itself.
TEST_CASE("an answer truncated at any byte is never taken for complete, and its request is sent once")
{
    const std::string whole = GENERATE(Plain, Chunked);
    const std::string method = GENERATE("POST", "GET");
    const bool reused = GENERATE(false, true);
    const bool reset = GENERATE(false, true);
    for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
        Bench bench;
        int target = reused ? 2 : 1;
        ScriptedPeer *self = nullptr;
        ScriptedPeer peer(*bench.loop, [&](PeerConnection &connection) {
            if (self->requests < target) {
                connection.send(Plain);
                return;
            }
            connection.send(whole.substr(0, cut));
            // A reset may overtake the bytes before it, so it is sent a little later.
            bench.loop->after(reset ? 1ms : 0ms, [self, reset, number = connection.number] {
                PeerConnection *open = self->find(number);
                if (open != nullptr) {
                    self->close(*open, reset);
                }
            });
        });
        self = &peer;
        std::vector<HttpCall> calls(static_cast<std::size_t>(target), callTo(peer.address(), method));
        const CallResult result = sendSequentially(bench, calls).back();
        INFO("cut at " << cut << " of " << whole.size() << ", " << method << (reused ? ", reused" : ""));
        CHECK(peer.accepted == 1);
        CHECK(peer.requests == target);
        CHECK(result.mayHaveRun);
        if (whole == Chunked && cut + 1 == whole.size()) {
            // The chunk of length 0 ends the content; libcurl does not wait for the line feed after it.
            CHECK(result.answer.body == (result.outcome == CallOutcome::Answered ? "hello" : ""));
        } else if (cut == whole.size()) {
            CHECK(result.outcome == CallOutcome::Answered);
            CHECK(result.answer.body == "hello");
        } else {
            const std::size_t header = whole.find("\r\n\r\n") + 4;
            CHECK(result.outcome == (cut < header ? CallOutcome::ConnectionLost : CallOutcome::TruncatedAnswer));
        }
    }
}

// Guards against a POST that runs twice because another idle connection to the peer is used for a retry.
TEST_CASE("a request is not retried on another open connection")
{
    Bench bench;
    ScriptedPeer *self = nullptr;
    ScriptedPeer peer(*bench.loop, [&](PeerConnection &connection) {
        if (self->requests == 2) {
            // Both connections are open now.
            self->find(1)->send(Plain);
            self->find(2)->send(Plain);
        } else if (self->requests > 2) {
            self->close(connection);
        }
    });
    self = &peer;
    CallResult last;
    int answered = 0;
    bench.loop->post([&] {
        for (int i = 0; i < 2; ++i) {
            bench.client->send(callTo(peer.address(), "GET"), [&](const CallResult &) {
                if (++answered < 2) {
                    return;
                }
                bench.client->send(callTo(peer.address(), "POST"), [&](CallResult result) {
                    last = std::move(result);
                    bench.loop->stop();
                });
            });
        }
    });
    bench.run();
    CHECK(last.outcome == CallOutcome::ConnectionLost);
    CHECK(last.mayHaveRun);
    CHECK(peer.requests == 3);
    CHECK(peer.accepted == 2);
}

// Guards against a late answer taken for the answer to the next call of its connection.
TEST_CASE("a connection with an outstanding answer is never reused")
{
    const bool cancelled = GENERATE(false, true);
    Bench bench;
    ScriptedPeer *self = nullptr;
    ScriptedPeer peer(*bench.loop, [&](PeerConnection &connection) {
        if (connection.number == 1) {
            bench.loop->after(60ms, [&] {
                if (PeerConnection *late = self->find(1)) {
                    late->send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nLATE!");
                }
            });
            return;
        }
        bench.loop->after(100ms, [&] {
            self->find(2)->send(Plain);
        });
    });
    self = &peer;
    CallResult first;
    CallResult second;
    bench.loop->post([&] {
        HttpCall call = callTo(peer.address(), "GET");
        call.timeout = cancelled ? 5s : 30ms;
        const CallId id = bench.client->send(call, [&](CallResult result) {
            first = std::move(result);
            bench.client->send(callTo(peer.address(), "GET"), [&](CallResult result) {
                second = std::move(result);
                bench.loop->stop();
            });
        });
        if (cancelled) {
            bench.loop->after(20ms, [&, id] {
                bench.client->cancel(id);
                bench.client->cancel(id);
            });
        }
    });
    bench.run();
    CHECK(first.outcome == (cancelled ? CallOutcome::Cancelled : CallOutcome::TimedOut));
    CHECK(first.mayHaveRun);
    CHECK(second.outcome == CallOutcome::Answered);
    CHECK(second.answer.body == "hello");
    CHECK(peer.accepted == 2);
    CHECK(bench.client->inProgress() == 0);
}

// Guards against answers to other calls after a peer has sent one answer too many.
TEST_CASE("a surplus answer is never taken for the answer to the next call")
{
    const auto delay = GENERATE(0ms, 1ms, 20ms);
    Bench bench;
    ScriptedPeer *self = nullptr;
    ScriptedPeer peer(*bench.loop, [&](PeerConnection &connection) {
        if (self->requests > 1) {
            connection.send(Plain);
            return;
        }
        const std::string surplusAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nSTRAY";
        connection.send(delay == 0ms ? Plain + surplusAnswer : Plain);
        if (delay > 0ms) {
            bench.loop->after(delay, [&, surplusAnswer] {
                self->find(1)->send(surplusAnswer);
            });
        }
    });
    self = &peer;
    CallResult second;
    bench.loop->post([&] {
        bench.client->send(callTo(peer.address(), "GET"), [&](const CallResult &) {
            bench.loop->after(40ms, [&] {
                bench.client->send(callTo(peer.address(), "GET"), [&](CallResult result) {
                    second = std::move(result);
                    bench.loop->stop();
                });
            });
        });
    });
    bench.run();
    CHECK(second.outcome == CallOutcome::Answered);
    CHECK(second.answer.body == "hello");
    CHECK(peer.accepted == 2);
}

// Guards against a pause within an answer taken for its end.
TEST_CASE("an answer sent a byte at a time is complete, or times out")
{
    const bool inTime = GENERATE(true, false);
    Bench bench;
    ScriptedPeer *self = nullptr;
    std::size_t sent = 0;
    std::function<void()> sendNextByte = [&] {
        PeerConnection *connection = self->find(1);
        if (connection != nullptr && sent < Chunked.size() - (inTime ? 0 : 3)) {
            connection->send(Chunked.substr(sent++, 1));
            bench.loop->after(100us, sendNextByte);
        }
    };
    ScriptedPeer peer(*bench.loop, [&](PeerConnection &) {
        sendNextByte();
    });
    self = &peer;
    HttpCall call = callTo(peer.address(), "GET");
    call.timeout = inTime ? 10s : 100ms;
    const CallResult result = sendSequentially(bench, {call}).front();
    CHECK(result.outcome == (inTime ? CallOutcome::Answered : CallOutcome::TimedOut));
    CHECK(result.answer.body == (inTime ? "hello" : ""));
}

TEST_CASE("an answer with invalid framing, or too large, is rejected")
{
    struct Case {
        std::string bytes;
        CallOutcome outcome;
    };
    const Case testCase = GENERATE(
        Case{"HTTP/1.1 200 OK\r\n\r\nhello", CallOutcome::TruncatedAnswer},
        Case{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", CallOutcome::TruncatedAnswer},
        Case{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\nhello", CallOutcome::TruncatedAnswer},
        Case{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: "
             "chunked\r\n\r\n0\r\n\r\n",
             CallOutcome::TruncatedAnswer},
        Case{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", CallOutcome::TruncatedAnswer},
        Case{"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n" + std::string(40, 'x'), CallOutcome::TooLarge},
        Case{"HTTP/1.1 200 OK\r\nBig: " + std::string(70000, 'x') + "\r\n\r\n", CallOutcome::TooLarge},
        Case{"HTTP/1.1 100 Continue\r\n\r\n", CallOutcome::ConnectionLost},
        Case{"\x01\x02 garbage\r\n\r\n", CallOutcome::ConnectionLost},
        Case{"HTTP/1.1 204 No Content\r\n\r\n", CallOutcome::Answered});
    Bench bench;
    ScriptedPeer *self = nullptr;
    ScriptedPeer peer(*bench.loop, [&](PeerConnection &connection) {
        connection.send(testCase.bytes);
        self->close(connection);
    });
    self = &peer;
    HttpCall call = callTo(peer.address(), "GET");
    call.maxAnswerBytes = 32;
    INFO(testCase.bytes.substr(0, 60));
    CHECK(sendSequentially(bench, {call}).front().outcome == testCase.outcome);
}

TEST_CASE("calls beyond the maximum of connections to a peer wait, and are reported as not sent when they time out")
{
    Bench bench;
    bench.client = std::make_unique<HttpClient>(*bench.loop, HttpClientSettings{.maxConnectionsPerPeer = 1});
    ScriptedPeer peer(*bench.loop, [](PeerConnection &) {});
    std::vector<CallResult> results;
    bench.loop->post([&] {
        for (const auto timeout : {200ms, 50ms}) {
            HttpCall call = callTo(peer.address(), "POST");
            call.timeout = timeout;
            bench.client->send(call, [&](CallResult result) {
                results.push_back(std::move(result));
                if (results.size() == 2) {
                    bench.loop->stop();
                }
            });
        }
    });
    bench.run();
    CHECK(results[0].outcome == CallOutcome::NotSent);
    CHECK(results[1].outcome == CallOutcome::TimedOut);
    CHECK(peer.requests == 1);
}

// Guards against the second answer to one request taken for the answer to the next.
TEST_CASE("an answer that echoes another request's id is rejected, and its connection is not reused")
{
    Bench bench;
    ScriptedPeer peer(*bench.loop, [](PeerConnection &connection) {
        connection.send("HTTP/1.1 200 OK\r\nRequest-Name: one\r\nContent-Length: 5\r\n\r\nhello");
    });
    HttpCall first = callTo(peer.address(), "GET");
    first.expectedEcho = {"request-name", "one"};
    HttpCall second = first;
    second.expectedEcho.value = "two";
    const std::vector<CallResult> results = sendSequentially(bench, {first, second, first});
    REQUIRE(results[0].outcome == CallOutcome::Answered);
    REQUIRE(results[1].outcome == CallOutcome::ConnectionLost);
    REQUIRE(results[1].mayHaveRun);
    REQUIRE(results[2].outcome == CallOutcome::Answered);
    REQUIRE(peer.accepted == 2);
}

TEST_CASE("an answer that ends with its connection is accepted if the call allows it and the connection was not reset")
{
    Bench bench;
    ScriptedPeer *peers[2] = {nullptr, nullptr};
    const auto answerAndEnd = [&](bool reset) {
        return [&peers, reset](PeerConnection &connection) {
            connection.send("HTTP/1.1 200 OK\r\n\r\nhello");
            peers[reset ? 1 : 0]->close(connection, reset);
        };
    };
    ScriptedPeer closing(*bench.loop, answerAndEnd(false));
    ScriptedPeer resetting(*bench.loop, answerAndEnd(true));
    peers[0] = &closing;
    peers[1] = &resetting;
    HttpCall call = callTo(closing.address(), "GET");
    call.readUntilClose = true;
    HttpCall cut = callTo(resetting.address(), "GET");
    cut.readUntilClose = true;
    const std::vector<CallResult> results = sendSequentially(bench, {call, cut, callTo(closing.address(), "GET")});
    REQUIRE(results[0].outcome == CallOutcome::Answered);
    REQUIRE(results[0].answer.body == "hello");
    REQUIRE(results[1].outcome != CallOutcome::Answered);
    REQUIRE(results[2].outcome == CallOutcome::TruncatedAnswer);
}
