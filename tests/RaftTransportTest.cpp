#include "rpc/RaftTransport.h"
#include "loop/EventLoop.h"

#include <catch2/catch.hpp>

#include <functional>
#include <vector>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

/** Two transports on one loop; what arrives at the second is kept. */
struct Pair {
    Pair()
    {
        this->openReceiver(0);
        this->sender = std::move(rpc::RaftTransport::open(*this->loop, {"127.0.0.1", 0}, [](const auto &) {}).value());
    }

    void openReceiver(std::uint16_t port)
    {
        auto opened = rpc::RaftTransport::open(*this->loop, {"127.0.0.1", port}, [this](const wire::RaftMessage &got) {
            this->terms.push_back(got.term());
        });
        REQUIRE(opened.has_value());
        this->receiver = std::move(opened.value());
        this->address = "127.0.0.1:" + std::to_string(this->receiver->port());
    }

    void send(std::uint64_t term, std::size_t bytes = 0)
    {
        wire::RaftMessage message;
        message.set_term(term);
        message.mutable_snapshot_chunk()->set_data(std::string(bytes, 'x'));
        this->sender->send(this->address, std::move(message));
    }

    void runUntil(const std::function<bool()> &condition)
    {
        const loop::TimerId limit = this->loop->after(20s, [this] {
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
    std::unique_ptr<rpc::RaftTransport> receiver;
    std::unique_ptr<rpc::RaftTransport> sender;
    std::string address;
    std::vector<std::uint64_t> terms;
};

} // namespace

TEST_CASE("messages arrive once and in order, and one that is too large is left out", "[transport]")
{
    Pair pair;
    for (std::uint64_t term = 1; term <= 100; ++term) {
        pair.send(term, term == 50 ? rpc::RaftTransport::MaxMessageBytes : 1000);
    }
    pair.runUntil([&] {
        return pair.terms.size() >= 99;
    });
    std::vector<std::uint64_t> expected;
    for (std::uint64_t term = 1; term <= 100; ++term) {
        if (term != 50) {
            expected.push_back(term);
        }
    }
    REQUIRE(pair.terms == expected);
}

// A replica is restarted; its peers must reach it again by themselves, and what they said meanwhile must not pile up.
TEST_CASE("a peer that was away is reached again, and its queue stays bounded meanwhile", "[transport]")
{
    Pair pair;
    pair.send(1);
    pair.runUntil([&] {
        return pair.terms.size() == 1;
    });
    const std::uint16_t port = pair.receiver->port();
    pair.receiver.reset();
    for (std::uint64_t term = 2; term < 10000; ++term) {
        pair.send(term);
    }
    pair.openReceiver(port);
    std::uint64_t last = 10000;
    const loop::TimerId speak = pair.loop->every(10ms, [&] {
        pair.send(++last);
    });
    pair.runUntil([&] {
        return pair.terms.back() > 10000;
    });
    pair.loop->cancel(speak);
    REQUIRE(pair.terms.size() < 2000);
}

TEST_CASE("a port in use is told", "[transport]")
{
    Pair pair;
    const auto second = rpc::RaftTransport::open(*pair.loop, {"127.0.0.1", pair.receiver->port()}, [](const auto &) {});
    REQUIRE_FALSE(second.has_value());
    REQUIRE(second.error().front().place.find("raft port") != std::string::npos);
}

// A peer is slower than what is said to it: memory must not grow, and the newest message says the most.
TEST_CASE("a queue that is full drops its oldest messages", "[transport]")
{
    Pair pair;
    for (std::uint64_t term = 1; term <= 5000; ++term) {
        pair.send(term);
    }
    pair.runUntil([&] {
        return !pair.terms.empty() && pair.terms.back() == 5000;
    });
    REQUIRE(pair.terms.size() < 2000);
}
