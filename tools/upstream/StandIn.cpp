#include "StandIn.h"

#include "base/KeyHash.h"
#include "net/Problem.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <charconv>
#include <cmath>
#include <thread>

namespace bergamotweir::upstream {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int CrashExitCode = 70;
/** Maximum number of cancelled ids kept, for requests that arrive after their cancellation. */
constexpr std::size_t MaxCancelled = 10000;
/** Maximum number of peer addresses kept to recognise new connections. */
constexpr std::size_t MaxPeers = 20000;

net::HttpAnswer jsonAnswer(const json &body)
{
    return {.status = 200, .headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/**
 * Reads a number that is text or a JSON number: hashes are text, because JSON numbers have only 53 exact bits; epochs
 * and times may be either.
 */
std::uint64_t memberNumber(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return 0;
    }
    return found->is_string()            ? parseNumber(found->get<std::string>())
           : found->is_number_unsigned() ? found->get<std::uint64_t>()
                                         : 0;
}

std::uint64_t headerNumber(const net::HttpRequest &request, const char *name)
{
    const std::string *text = net::findHeader(request.headers, name);
    return text == nullptr ? 0 : parseNumber(*text);
}

std::vector<Range> rangesOf(const json &order)
{
    std::vector<Range> ranges;
    const auto slices = order.find("slices");
    if (slices != order.end() && slices->is_array()) {
        for (const json &slice : *slices) {
            ranges.push_back({memberNumber(slice, "begin"), memberNumber(slice, "end")});
        }
    }
    return ranges;
}

} // namespace

StandIn::StandIn(loop::EventLoop &loop, UpstreamSettings settings, std::unique_ptr<Ledger> ledger)
    : loop(loop)
    , settings(std::move(settings))
    , ledger(std::move(ledger))
    , random(this->settings.seed)
    , coldUntil(BootClock::now() + this->settings.coldTime)
{
}

void StandIn::onRequest(const std::shared_ptr<net::Exchange> &exchange)
{
    const net::HttpRequest &request = exchange->request();
    if (request.target.starts_with("/s/")) {
        this->execute(exchange);
        return;
    }
    this->onOrder(exchange, request.target);
}

void StandIn::onOrder(const std::shared_ptr<net::Exchange> &exchange, const std::string &target)
{
    if (target == "/grants") {
        this->onGrants(*exchange);
    } else if (target == "/revoke") {
        this->onRevoke(*exchange);
    } else if (target == "/cancel") {
        this->onCancel(*exchange);
    } else if (target == "/test") {
        this->onTest(*exchange);
    } else if (target == "/drain") {
        this->drain();
        exchange->answer(jsonAnswer({{"running", this->executions.size()}}));
    } else if (target == "/health") {
        exchange->answer(jsonAnswer({{"status", "ok"}}));
    } else if (target == "/load") {
        exchange->answer(jsonAnswer({{"load", reportedLoad(this->load, BootClock::now())}}));
    } else {
        exchange->answer(net::problem(404, "Not found", "No such endpoint.", net::RequestRan::No));
    }
}

void StandIn::onGrants(net::Exchange &exchange)
{
    const json order = json::parse(exchange.request().body, nullptr, false);
    if (!order.is_object()) {
        exchange.answer(net::problem(400, "Bad order", "Not a JSON object.", net::RequestRan::No));
        return;
    }
    const BootTime until = BootClock::now() + milliseconds(memberNumber(order, "expires_ms"));
    if (!this->grants.grant(rangesOf(order), memberNumber(order, "epoch"), until)) {
        exchange.answer(net::problem(409, "Older epoch", "A newer epoch is held.", net::RequestRan::No));
        return;
    }
    this->isDraining = false;
    exchange.answer(jsonAnswer(json::object()));
}

void StandIn::onRevoke(net::Exchange &exchange)
{
    const json order = json::parse(exchange.request().body, nullptr, false);
    if (order.is_object()) {
        this->grants.revoke(rangesOf(order), memberNumber(order, "epoch"));
    }
    exchange.answer(jsonAnswer({{"running", this->executions.size()}}));
}

void StandIn::onCancel(net::Exchange &exchange)
{
    const json order = json::parse(exchange.request().body, nullptr, false);
    const std::string id = order.is_object() ? order.value("request", std::string()) : std::string();
    // A request that was sent on another connection may be read after its cancellation.
    if (this->cancelled.insert(id).second) {
        this->cancelledOldestFirst.push_back(id);
    }
    if (this->cancelledOldestFirst.size() > MaxCancelled) {
        this->cancelled.erase(this->cancelledOldestFirst.front());
        this->cancelledOldestFirst.pop_front();
    }
    const auto found = this->runOfRequest.find(id);
    const bool isRunning = found != this->runOfRequest.end();
    if (isRunning) {
        const auto stopped = this->executions.extract(found->second);
        this->runOfRequest.erase(found);
        this->loop.cancel(stopped.mapped().timer);
        this->ledger->recordEnd(stopped.key(), "cancelled");
        this->recordLoad();
        stopped.mapped().exchange->answer(
            net::problem(503, "Cancelled", "The request was cancelled while it ran.", net::RequestRan::Unknown));
    }
    exchange.answer(jsonAnswer({{"cancelled", isRunning}}));
}

void StandIn::onTest(net::Exchange &exchange)
{
    const json order = json::parse(exchange.request().body, nullptr, false);
    if (!order.is_object()) {
        exchange.answer(net::problem(400, "Bad order", "Not a JSON object.", net::RequestRan::No));
        return;
    }
    const BootTime now = BootClock::now();
    if (order.contains("slow_factor")) {
        this->slowFactor = order.value("slow_factor", 1.0);
        this->slowUntil = order.contains("slow_ms") ? now + milliseconds(order.value("slow_ms", 0)) : BootTime::max();
    }
    if (order.contains("lie_load")) {
        const json &falseLoad = order["lie_load"];
        this->load.falseLoad = falseLoad.is_number() ? std::optional<double>(falseLoad.get<double>()) : std::nullopt;
    }
    this->load.lag = milliseconds(order.value("load_lag_ms", this->load.lag.count()));
    if (order.contains("cold_ms")) {
        this->coldUntil = now + milliseconds(order.value("cold_ms", 0));
        this->coldExcess = 0;
    }
    if (order.value("crash", false)) {
        _exit(CrashExitCode);
    }
    exchange.answer(jsonAnswer(json::object()));
    if (order.contains("freeze_ms")) {
        const milliseconds freeze(order.value("freeze_ms", 0));
        this->loop.after(milliseconds(1), [freeze] {
            std::this_thread::sleep_for(freeze);
        });
    }
}

/** @return the reason for refusing the request, with @p status set, or nullptr when it can run */
const char *StandIn::refusal(const net::HttpRequest &request, int &status) const
{
    const std::string *id = net::findHeader(request.headers, "Request-Id");
    if (id != nullptr && this->cancelled.count(*id) > 0) {
        status = 409;
        return "The request was cancelled before it came.";
    }
    if (this->isDraining) {
        status = 503;
        return "The upstream is draining.";
    }
    const std::string *key = net::findHeader(request.headers, "Routing-Key");
    const std::uint64_t epoch = headerNumber(request, "Grant-Epoch");
    if (this->settings.checksGrants && key != nullptr && !this->grants.covers(hashKey(*key), epoch, BootClock::now())) {
        status = 409;
        return "The key is not granted under this epoch.";
    }
    if (!this->isCold() && this->executions.size() >= this->settings.slots) {
        status = 503;
        return "All slots are taken.";
    }
    return nullptr;
}

void StandIn::execute(const std::shared_ptr<net::Exchange> &exchange)
{
    const net::HttpRequest &request = exchange->request();
    int status = 0;
    if (const char *reason = this->refusal(request, status)) {
        exchange->answer(net::problem(status, "Refused", reason, net::RequestRan::No));
        return;
    }
    const std::uint64_t run = this->ledger->recordStart(request);
    if (net::findHeader(request.headers, "Test-Crash") != nullptr) {
        _exit(CrashExitCode);
    }
    if (this->isCold() && this->executions.size() >= this->settings.coldSlots) {
        ++this->coldExcess;
        if (this->settings.maxColdExcess != 0 && this->coldExcess > this->settings.maxColdExcess) {
            _exit(CrashExitCode);
        }
    }
    std::chrono::nanoseconds time = this->serviceTime(request);
    if (time.count() == 0) {
        this->ledger->recordEnd(run, "done");
        exchange->answer(this->answerFor(request, run));
        return;
    }
    const std::uint64_t timeout = headerNumber(request, "Request-Timeout");
    const bool exceedsDeadline = timeout != 0 && milliseconds(timeout) < time;
    if (exceedsDeadline) {
        time = milliseconds(timeout);
    }
    if (const std::string *id = net::findHeader(request.headers, "Request-Id")) {
        this->runOfRequest[*id] = run;
    }
    const loop::TimerId timer = this->loop.after(time, [this, run] {
        this->finish(run);
    });
    this->executions[run] = {exchange, run, timer, exceedsDeadline};
    this->recordLoad();
}

std::chrono::nanoseconds StandIn::serviceTime(const net::HttpRequest &request)
{
    std::chrono::duration<double, std::nano> time = this->settings.serviceTime;
    const double uniform = std::ldexp(static_cast<double>(this->random()) + 1, -32);
    time *= 1 - this->settings.jitter - this->settings.jitter * std::log(uniform);
    if (BootClock::now() < this->slowUntil) {
        time *= this->slowFactor;
    }
    if (this->isCold()) {
        time *=
            std::max(1.0, static_cast<double>(this->executions.size() + 1) / std::max(1U, this->settings.coldSlots));
    }
    if (this->peers.size() > MaxPeers) {
        this->peers.clear();
    }
    if (this->peers.insert(request.peer).second) {
        time += this->settings.connectionCost;
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time);
}

void StandIn::finish(std::uint64_t run)
{
    const auto extracted = this->executions.extract(run);
    const Execution &done = extracted.mapped();
    const net::HttpRequest &request = done.exchange->request();
    if (const std::string *id = net::findHeader(request.headers, "Request-Id")) {
        const auto found = this->runOfRequest.find(*id);
        if (found != this->runOfRequest.end() && found->second == run) {
            this->runOfRequest.erase(found);
        }
    }
    this->ledger->recordEnd(run, done.exceedsDeadline ? "deadline" : "done");
    this->recordLoad();
    done.exchange->answer(done.exceedsDeadline ? net::problem(
                              504, "Deadline passed", "Stopped at its deadline.", net::RequestRan::Unknown)
                                               : this->answerFor(request, run));
}

net::HttpAnswer StandIn::answerFor(const net::HttpRequest &request, std::uint64_t run) const
{
    const std::string *testId = net::findHeader(request.headers, "Test-Id");
    const std::string *key = net::findHeader(request.headers, "Routing-Key");
    const std::string *id = net::findHeader(request.headers, "Request-Id");
    net::HttpAnswer answer = jsonAnswer({{"upstream", this->settings.name},
                                         {"run", run},
                                         {"test_id", testId == nullptr ? "" : *testId},
                                         {"key", key == nullptr ? "" : *key},
                                         {"request", id == nullptr ? "" : *id}});
    if (testId != nullptr) {
        answer.headers.push_back({"Test-Id", *testId});
    }
    if (this->settings.rateLimit > 0) {
        answer.headers.push_back({"Upstream-Rate-Limit", std::to_string(this->settings.rateLimit)});
    }
    return answer;
}

void StandIn::drain()
{
    this->isDraining = true;
}

std::size_t StandIn::running() const
{
    return this->executions.size();
}

bool StandIn::isCold() const
{
    return BootClock::now() < this->coldUntil;
}

void StandIn::recordLoad()
{
    recordSample(this->load,
                 static_cast<double>(this->executions.size()) / std::max(1U, this->settings.slots),
                 BootClock::now());
}

} // namespace bergamotweir::upstream
