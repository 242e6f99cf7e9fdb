#include "rpc/FrameServer.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxFrameBytes = std::size_t{1024} * 1024;

rpc::Frame makeText(const std::string &text)
{
    return std::make_shared<const std::string>(rpc::frameHeader(text.size()) + text);
}

/** A server and one client on one loop. */
struct Connection {
    Connection()
    {
        this->server = std::move(rpc::FrameServer::listen(*this->loop,
                                                          {.address = "127.0.0.1", .maxFrameBytes = MaxFrameBytes},
                                                          {.accepted =
                                                               [this](std::shared_ptr<rpc::FrameSocket> socket) {
                                                                   this->accepted = std::move(socket);
                                                               },
                                                           .http2 = {}})
                                     .value());
        this->client =
            rpc::FrameSocket::connect(*this->loop, "127.0.0.1:" + std::to_string(this->server->port()), MaxFrameBytes);
        this->runUntil([this] {
            return this->client->isReady() && this->accepted && this->accepted->isReady();
        });
    }

    void runUntil(const std::function<bool()> &condition)
    {
        const loop::TimerId limit = this->loop->after(5s, [this] {
            this->loop->stop();
        });
        const loop::TimerId poll = this->loop->every(1ms, [&] {
            if (condition()) {
                this->loop->stop();
            }
        });
        this->loop->run();
        this->loop->cancel(limit);
        this->loop->cancel(poll);
        REQUIRE(condition());
    }

    std::unique_ptr<loop::EventLoop> loop = std::move(loop::EventLoop::create().value());
    std::unique_ptr<rpc::FrameServer> server;
    std::shared_ptr<rpc::FrameSocket> accepted;
    std::shared_ptr<rpc::FrameSocket> client;
};

} // namespace

// Guards against a process that is ended by SIGPIPE when it writes to a connection that its peer has closed.
TEST_CASE("frames: writing to a connection that the peer has closed closes it, and the process goes on")
{
    std::signal(SIGPIPE, SIG_DFL);
    Connection connection;
    bool closed = false;
    connection.client->setEvents({.frame = {}, .closed = [&] {
                                      closed = true;
                                  }});
    connection.accepted->close();
    const loop::TimerId writes = connection.loop->every(1ms, [&] {
        connection.client->send(makeText("late"));
    });
    connection.runUntil([&] {
        return closed;
    });
    connection.loop->cancel(writes);
    CHECK(connection.client->isClosed());
}

TEST_CASE("frames: all sizes arrive whole and in order, also when the receiver is slower than the sender")
{
    Connection connection;
    std::vector<std::size_t> sizes;
    connection.accepted->setEvents({.frame =
                                        [&](std::string_view payload) {
                                            sizes.push_back(payload.size());
                                        },
                                    .closed = {}});
    const std::vector<std::size_t> sent{0, 1, 70000, MaxFrameBytes, 3, 500000, 0};
    for (const std::size_t size : sent) {
        connection.client->send(makeText(std::string(size, 'x')));
    }
    connection.runUntil([&] {
        return sizes.size() == sent.size();
    });
    CHECK(sizes == sent);
    CHECK(connection.client->queuedBytes() == 0);
}

TEST_CASE("frames: a peer that sends a frame above the bound, or another protocol, is disconnected")
{
    Connection connection;
    bool closed = false;
    connection.accepted->setEvents({.frame = {}, .closed = [&] {
                                        closed = true;
                                    }});
    connection.client->send(std::make_shared<const std::string>(rpc::frameHeader(MaxFrameBytes + 1)));
    connection.runUntil([&] {
        return closed;
    });
    CHECK(connection.accepted->isClosed());
}
