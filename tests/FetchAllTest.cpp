#include "cli/FetchAll.h"
#include "loop/EventLoop.h"
#include "net/Exchange.h"
#include "net/HttpServer.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace bergamotweir;
using namespace std::chrono_literals;

TEST_CASE("many documents are fetched in order; each failed one has an error at its index")
{
    auto loop = loop::EventLoop::create().value();
    const net::HttpServerSettings settings =
        net::HttpServerSettingsBuilder().address("127.0.0.1").port(0).build().value();
    auto server = net::HttpServer::listen(*loop, settings, [](const std::shared_ptr<net::Exchange> &exchange) {
                      net::HttpAnswer answer;
                      answer.status = exchange->request().target == "/none" ? 404 : 200;
                      answer.body = exchange->request().target;
                      exchange->answer(std::move(answer));
                  }).value();
    const std::string here = "http://127.0.0.1:" + std::to_string(server->port());
    std::vector<std::string> urls;
    urls.reserve(151);
    for (int i = 0; i < 150; ++i) {
        urls.push_back(here + (i % 50 == 7 ? "/none" : "/" + std::to_string(i)));
    }
    // Nothing listens on the discard port.
    urls.emplace_back("http://127.0.0.1:9/x");
    std::vector<Result<std::string>> documents;
    std::thread operatorThread([&] {
        documents = cli::fetchAll(urls, 5000ms);
        loop->stop();
    });
    loop->run();
    operatorThread.join();
    REQUIRE(documents.size() == urls.size());
    for (int i = 0; i < 150; ++i) {
        const Result<std::string> &document = documents[static_cast<std::size_t>(i)];
        CHECK(document.has_value() == (i % 50 != 7));
        CHECK((!document || document.value() == "/" + std::to_string(i)));
    }
    CHECK_FALSE(documents.back());
    CHECK(cli::fetchAll({}, 1ms).empty());
}
