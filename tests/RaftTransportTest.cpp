#include "rpc/RaftTransport.h"
#include "loop/EventLoop.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <vector>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

/** Two transports on one loop; records the terms of the messages that the receiver gets. */
struct TransportPair {
    TransportPair()
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
        this->sender->send(this->address, message);
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

TEST_CASE("messages arrive once and in order, and one that is too large is dropped", "[transport]")
{
    TransportPair pair;
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

// Guards against peers that do not reconnect to a restarted replica, or whose queues grow without bound meanwhile.
TEST_CASE("a restarted peer is reached again, and its queue stays bounded meanwhile", "[transport]")
{
    TransportPair pair;
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
    std::uint64_t lastTerm = 10000;
    const loop::TimerId sendTimer = pair.loop->every(10ms, [&] {
        pair.send(++lastTerm);
    });
    pair.runUntil([&] {
        return pair.terms.back() > 10000;
    });
    pair.loop->cancel(sendTimer);
    REQUIRE(pair.terms.size() < 2000);
}

TEST_CASE("opening on a port in use is an error", "[transport]")
{
    TransportPair pair;
    const auto second = rpc::RaftTransport::open(*pair.loop, {"127.0.0.1", pair.receiver->port()}, [](const auto &) {});
    REQUIRE_FALSE(second.has_value());
    REQUIRE(second.error().front().place.find("raft port") != std::string::npos);
}

// A peer reads more slowly than messages are sent: memory stays bounded, and the newest message is kept.
TEST_CASE("a queue that is full drops its oldest messages", "[transport]")
{
    TransportPair pair;
    for (std::uint64_t term = 1; term <= 5000; ++term) {
        pair.send(term);
    }
    pair.runUntil([&] {
        return !pair.terms.empty() && pair.terms.back() == 5000;
    });
    REQUIRE(pair.terms.size() < 2000);
}

// Guards against a crash of a control process while a peer restarts: gRPC may end the stream on its own thread just
// before the loop writes on it.
TEST_CASE("a stream that ends during a write does not crash the process", "[transport]")
{
    TransportPair pair;
    std::uint64_t term = 0;
    const loop::TimerId sendTimer = pair.loop->every(200us, [&] {
        pair.send(++term);
    });
    const std::uint16_t port = pair.receiver->port();
    for (int restart = 0; restart < 20; ++restart) {
        const std::size_t before = pair.terms.size();
        pair.runUntil([&] {
            return pair.terms.size() > before;
        });
        pair.receiver.reset();
        pair.openReceiver(port);
    }
    pair.loop->cancel(sendTimer);
    REQUIRE(std::is_sorted(pair.terms.begin(), pair.terms.end()));
}
