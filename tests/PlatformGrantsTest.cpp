#include "base/KeyHash.h"
#include "platform/Grants.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace bergamotweir;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

agent::GrantOrder order(agent::OrderKind kind)
{
    agent::GrantOrder order;
    order.kind = kind;
    order.range = {hashOfNumberedKey(4096), hashOfNumberedKey(8192) - 1, 12};
    order.holdFor = 1800ms;
    order.handover = "5c0e7a21d94b36f8";
    return order;
}

process::Announcement worker()
{
    process::Announcement worker;
    worker.address = "10.0.0.9:80";
    worker.instance = "i-1";
    return worker;
}

agent::OrderOutcome outcomeOf(int status, std::vector<net::Header> headers = {}, std::string body = {})
{
    net::CallResult result;
    result.outcome = net::CallOutcome::Answered;
    result.answer = {status, std::move(headers), std::move(body)};
    return platform::readOrderAnswer(result).outcome;
}

} // namespace

TEST_CASE("platform: grants and releases carry the keys, the epoch, the duration and the process id")
{
    const net::HttpCall grant = platform::orderCall(worker(), order(agent::OrderKind::Grant));
    CHECK(grant.address == "10.0.0.9:80");
    CHECK(grant.method == "POST");
    CHECK(grant.target == "/api/grant");
    CHECK(*net::findHeader(grant.headers, "X-Expected-Instance") == "i-1");
    CHECK(json::parse(grant.body)
          == json::parse(
              R"({"from":4096,"target_version":8191,"fence":12,"hold_ms":1800,"handover":"5c0e7a21d94b36f8"})"));
    const net::HttpCall release = platform::orderCall(worker(), order(agent::OrderKind::Release));
    CHECK(release.target == "/api/release");
    CHECK(json::parse(release.body) == json::parse(R"({"from":4096,"target_version":8191,"fence":12})"));
}

/*
 * An upstream answers an order with an unexpected status, an oversized handover or a truncated answer. If such an
 * answer counted as a completed release, two upstreams would hold the keys, so only a complete 200 does.
 */
TEST_CASE("platform: only status 200 confirms that an order was carried out")
{
    using agent::OrderOutcome;
    CHECK(outcomeOf(200) == OrderOutcome::Done);
    CHECK(outcomeOf(200, {}, "no JSON at all") == OrderOutcome::Done);
    CHECK(outcomeOf(409) == OrderOutcome::Outdated);
    CHECK(outcomeOf(400) == OrderOutcome::NotReceived);
    CHECK(outcomeOf(421) == OrderOutcome::NotReceived);
    for (const int status : {201, 204, 301, 404, 429, 500, 502, 503, 504}) {
        CHECK(outcomeOf(status) == OrderOutcome::Unknown);
    }
    for (const net::CallOutcome outcome : {net::CallOutcome::ConnectionLost,
                                           net::CallOutcome::TruncatedAnswer,
                                           net::CallOutcome::TooLarge,
                                           net::CallOutcome::TimedOut,
                                           net::CallOutcome::Cancelled}) {
        net::CallResult result;
        result.outcome = outcome;
        result.mayHaveRun = true;
        result.answer.status = 200;
        CHECK(platform::readOrderAnswer(result).outcome == OrderOutcome::Unknown);
    }
    CHECK(platform::readOrderAnswer({}).outcome == OrderOutcome::NotReceived);
}

TEST_CASE("platform: a handover is passed on unchanged, and an oversized one is dropped")
{
    net::CallResult result;
    result.outcome = net::CallOutcome::Answered;
    result.answer = {200, {{"X-Handover", "5c0e"}}, ""};
    CHECK(platform::readOrderAnswer(result).handover == "5c0e");
    result.answer.headers = {{"X-Handover", std::string(100000, 'x')}};
    CHECK(platform::readOrderAnswer(result).handover.empty());
    CHECK(platform::readOrderAnswer(result).outcome == agent::OrderOutcome::Done);
}
