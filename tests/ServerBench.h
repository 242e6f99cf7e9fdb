#pragma once

#include "loop/EventLoop.h"
#include "net/HttpClient.h"
#include "net/HttpServerSettings.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>

#include <chrono>
#include <string>

namespace bergamotweir::net {

/** A server, a client and the event loop that both run on. */
template<typename Server>
struct ServerBench {
    std::unique_ptr<loop::EventLoop> loop = loop::EventLoop::create().value();
    std::unique_ptr<HttpClient> client = std::make_unique<HttpClient>(*this->loop);
    std::unique_ptr<Server> server;
    bool hasTimedOut = false;

    void listen(typename Server::Handler handler)
    {
        const HttpServerSettings settings = HttpServerSettingsBuilder()
                                                .maxHeaderBytes(4096)
                                                .maxBodyBytes(1000)
                                                .maxDiscardedBytes(200000)
                                                .build()
                                                .value();
        this->server = Server::listen(*this->loop, settings, std::move(handler)).value();
    }

    HttpCall call(const std::string &method) const
    {
        HttpCall call;
        call.address = "127.0.0.1:" + std::to_string(this->server->port());
        call.method = method;
        call.timeout = std::chrono::seconds(5);
        return call;
    }

    void run()
    {
        this->loop->after(std::chrono::seconds(20), [this] {
            this->hasTimedOut = true;
            this->loop->stop();
        });
        this->loop->run();
        REQUIRE_FALSE(this->hasTimedOut);
    }

    CallResult send(const HttpCall &call)
    {
        CallResult received;
        this->loop->post([&] {
            this->client->send(call, [&](CallResult result) {
                received = std::move(result);
                this->loop->stop();
            });
        });
        this->run();
        return received;
    }

    int connect() const
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(this->server->port());
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(socket, reinterpret_cast<sockaddr *>(&to), sizeof to) == 0);
        return socket;
    }
};

inline HttpAnswer textAnswer(std::string body)
{
    return {.status = 200, .headers = {{"Content-Type", "text/plain"}}, .body = std::move(body)};
}

} // namespace bergamotweir::net
