#include "process/RequestText.h"
#include "base/KeyHash.h"
#include "process/UpstreamProtocol.h"
#include "table/Table.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace bergamotweir;
using namespace bergamotweir::process;
using namespace std::chrono_literals;

namespace {

constexpr BootTime Now{100s};

table::Table enrolmentTable()
{
    return table::Table::parse("service,keyed,timeout_ms\nenrolments,yes,800\ncatalogue,no,500\n").value();
}

net::HttpRequest keyedPost()
{
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/s/enrolments/seats?class=7";
    request.headers = {{"Routing-Key", "class-7"}, {"Idempotency-Key", "i1"}};
    request.body = "seat";
    return request;
}

int statusOf(const net::HttpRequest &request)
{
    const auto parsed = parseRequest(request, enrolmentTable(), Origin::Caller, Now);
    const auto *refusal = std::get_if<net::HttpAnswer>(&parsed);
    return refusal == nullptr ? 0 : refusal->status;
}

net::CallResult answerWith(int status, std::vector<net::Header> headers)
{
    net::CallResult result;
    result.outcome = net::CallOutcome::Answered;
    result.mayHaveRun = true;
    result.answer = {status, std::move(headers), ""};
    return result;
}

} // namespace

TEST_CASE("a caller's request is read, and deadlines come from the table unless it states one")
{
    net::HttpRequest request = keyedPost();
    const auto parsed = std::get<ParsedRequest>(parseRequest(request, enrolmentTable(), Origin::Caller, Now));
    REQUIRE(parsed.facts.service == "enrolments");
    REQUIRE(parsed.facts.keyed);
    REQUIRE(parsed.facts.claimed);
    REQUIRE(parsed.facts.hash == hashKey("class-7"));
    REQUIRE(parsed.facts.deadline == Now + 800ms);
    request.headers.push_back({"request-timeout", "50"});
    const auto withTimeout = std::get<ParsedRequest>(parseRequest(request, enrolmentTable(), Origin::Caller, Now));
    REQUIRE(withTimeout.facts.deadline == Now + 50ms);
    request.method = "PUT";
    REQUIRE_FALSE(std::get<ParsedRequest>(parseRequest(request, enrolmentTable(), Origin::Caller, Now)).facts.claimed);
}

TEST_CASE("bad requests are refused with 400 and 404")
{
    net::HttpRequest request = keyedPost();
    request.target = "/enrolments";
    REQUIRE(statusOf(request) == 400);
    request.target = "/s/sweeps/x";
    REQUIRE(statusOf(request) == 404);
    request = keyedPost();
    request.headers.clear();
    REQUIRE(statusOf(request) == 400);
    for (const char *timeout : {"0", "-5", "soon", "9 ", "99999999999999999999"}) {
        request = keyedPost();
        request.headers.push_back({"Request-Timeout", timeout});
        REQUIRE(statusOf(request) == 400);
    }
}

// A caller that sends the header fields used between agents could make an agent skip the claim, or choose its upstream.
TEST_CASE("header fields of the system are neither accepted from callers nor passed to them")
{
    net::HttpRequest request = keyedPost();
    request.headers.push_back({"bergamotweir-upstream", "9"});
    request.headers.push_back({"Grant-Epoch", "99"});
    request.headers.push_back({"Connection", "close"});
    const auto parsed = std::get<ParsedRequest>(parseRequest(request, enrolmentTable(), Origin::Caller, Now));
    REQUIRE_FALSE(parsed.facts.forwarded);
    REQUIRE(parsed.requestedUpstream == 0);
    const std::vector<net::Header> forwarded = headersToForward(request);
    REQUIRE(forwarded == std::vector<net::Header>{{"Routing-Key", "class-7"}, {"Idempotency-Key", "i1"}});
    const net::HttpAnswer passed = answerForCaller(
        {200, {{"Bergamotweir-End", "answered"}, {"Upstream-Load", "1"}, {"Content-Type", "text/plain"}}, "x"});
    REQUIRE(passed.headers == std::vector<net::Header>{{"Content-Type", "text/plain"}});
}

// Without the spread, all callers refused within one second retry within one later second.
TEST_CASE("Retry-After is spread")
{
    pcg32 random(7);
    std::map<std::string, unsigned> times;
    for (unsigned refusal = 0; refusal < 300; refusal++) {
        const net::HttpAnswer answer =
            refusalAnswer({.status = 503, .ran = agent::Ran::No, .retryAfter = true}, random);
        REQUIRE(*net::findHeader(answer.headers, "Request-Ran") == "no");
        times[*net::findHeader(answer.headers, "Retry-After")]++;
    }
    REQUIRE(times.size() == 3);
    REQUIRE(times.at("1") > 50);
}

TEST_CASE("an announcement is read whole, and all that is wrong with one is reported")
{
    const auto good =
        parseAnnouncement(R"({"service":"catalogue","name":"w1","port":8080,"incarnation":"i","slots":12,)"
                          R"("connections":130,"checks_grants":true})");
    REQUIRE(good);
    REQUIRE(good.value().checksGrants);
    REQUIRE(upstreamAddress(good.value()) == "127.0.0.1:8080");
    const auto bad = parseAnnouncement(R"({"service":"","name":7,"port":70000,"slots":0})");
    REQUIRE_FALSE(bad);
    REQUIRE(bad.error().size() == 6);
    REQUIRE_FALSE(parseAnnouncement("[]"));
    REQUIRE_FALSE(parseAnnouncement("{"));
}

// A JSON parser with 53-bit numbers rounds the end of a range; two upstreams would then serve the same keys.
TEST_CASE("grants carry hashes as text")
{
    const net::HttpCall call =
        grantsCall("127.0.0.1:1", {"catalogue", {{1, 0xffffffffffffffffULL}}, 7, std::chrono::milliseconds(250)});
    const auto body = nlohmann::json::parse(call.body);
    REQUIRE(body["slices"][0]["end"] == "18446744073709551615");
    REQUIRE(body["expires_ms"] == 250);
}

// A payment that ran is reported as "did not run", or is sent again, if the outcome of a call without a complete answer
// is read too optimistically.
TEST_CASE("how a request ended at an upstream: it may have run unless that is ruled out")
{
    REQUIRE(readAttemptResult(answerWith(503, {{"Request-Ran", "no"}})).outcome == agent::AttemptOutcome::Overloaded);
    REQUIRE(readAttemptResult(answerWith(409, {{"Request-Ran", "no"}})).outcome == agent::AttemptOutcome::NotOwner);
    REQUIRE(readAttemptResult(answerWith(503, {})).outcome == agent::AttemptOutcome::Answered);
    REQUIRE(readAttemptResult(answerWith(200, {{"Request-Ran", "no"}})).outcome == agent::AttemptOutcome::Answered);
    for (const auto outcome :
         {net::CallOutcome::ConnectionLost, net::CallOutcome::TruncatedAnswer, net::CallOutcome::TooLarge}) {
        net::CallResult result;
        result.outcome = outcome;
        result.mayHaveRun = true;
        REQUIRE(readAttemptResult(result).mayHaveRun);
        REQUIRE(readAttemptResult(result).outcome != agent::AttemptOutcome::Answered);
    }
    net::CallResult unsent;
    unsent.outcome = net::CallOutcome::NotSent;
    REQUIRE_FALSE(readAttemptResult(unsent).mayHaveRun);
}
