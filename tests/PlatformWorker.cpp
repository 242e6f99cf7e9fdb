#include "PlatformWorker.h"

#include "net/Header.h"

#include <algorithm>
#include <array>

namespace bergamotweir::test {

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr auto FirstHeartbeatDelay = 150ms;

std::string valueOf(const net::HttpRequest &request, const char *name)
{
    const std::string *value = net::findHeader(request.headers, name);
    return value == nullptr ? std::string() : *value;
}

} // namespace

PlatformWorker::PlatformWorker(Settings settings)
    : settings(std::move(settings))
    , loop(loop::EventLoop::create().value())
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    this->startedAtMs = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    auto http = net::HttpServerSettingsBuilder().address(this->settings.address).port(this->settings.port).build();
    this->server = std::move(net::HttpServer::listen(*this->loop,
                                                     http.value(),
                                                     [this](const std::shared_ptr<net::Exchange> &exchange) {
                                                         this->serve(exchange);
                                                     }))
                       .value();
    this->client = std::make_unique<net::HttpClient>(*this->loop);
    this->loop->after(FirstHeartbeatDelay, [this] {
        this->sendHeartbeat();
    });
    this->loop->every(this->settings.heartbeatInterval, [this] {
        this->sendHeartbeat();
    });
    this->thread = std::thread([this] {
        this->loop->run();
    });
}

PlatformWorker::~PlatformWorker()
{
    this->loop->stop();
    this->thread.join();
    this->client.reset();
    this->server.reset();
}

std::vector<std::array<std::uint64_t, 3>> PlatformWorker::held()
{
    const std::lock_guard guard(this->mutex);
    const auto now = std::chrono::steady_clock::now();
    if (this->settings.grantsByCall) {
        std::vector<std::array<std::uint64_t, 3>> held;
        for (const GrantedRange &hold : this->grantedRanges) {
            if (now < hold.until) {
                held.push_back(hold.row);
            }
        }
        return held;
    }
    if (now >= this->heldUntil) {
        this->rows.clear();
    }
    return this->rows;
}

std::chrono::milliseconds PlatformWorker::startedAt() const
{
    return std::chrono::milliseconds(this->startedAtMs);
}

std::vector<PlatformWorker::Arrival> PlatformWorker::arrivals()
{
    const std::lock_guard guard(this->mutex);
    return this->arrived;
}

bool PlatformWorker::holds(std::uint64_t key)
{
    const auto rows = this->held();
    return std::any_of(rows.begin(), rows.end(), [&](const auto &row) {
        return row[0] <= key && key <= row[1];
    });
}

net::HttpAnswer PlatformWorker::grant(const json &order)
{
    const std::lock_guard guard(this->mutex);
    const std::array<std::uint64_t, 3> row{order["from"], order["target_version"], order["fence"]};
    const bool outdated =
        std::any_of(this->grantedRanges.begin(), this->grantedRanges.end(), [&](const GrantedRange &hold) {
            return hold.row[0] <= row[1] && row[0] <= hold.row[1] && hold.row[2] > row[2];
        });
    if (outdated) {
        return {409, {}, ""};
    }
    std::erase_if(this->grantedRanges, [&](const GrantedRange &hold) {
        return row[0] <= hold.row[0] && hold.row[1] <= row[1];
    });
    const std::chrono::milliseconds holdFor(order["hold_ms"].get<std::uint64_t>());
    this->grantedRanges.push_back({row, std::chrono::steady_clock::now() + holdFor});
    return {200, {}, ""};
}

net::HttpAnswer PlatformWorker::release(const json &order)
{
    const std::lock_guard guard(this->mutex);
    const std::array<std::uint64_t, 3> row{order["from"], order["target_version"], order["fence"]};
    std::vector<GrantedRange> remaining;
    for (const GrantedRange &hold : this->grantedRanges) {
        if (hold.row[1] < row[0] || row[1] < hold.row[0] || hold.row[2] > row[2]) {
            remaining.push_back(hold);
            continue;
        }
        if (hold.row[0] < row[0]) {
            remaining.push_back({{hold.row[0], row[0] - 1, hold.row[2]}, hold.until});
        }
        if (row[1] < hold.row[1]) {
            remaining.push_back({{row[1] + 1, hold.row[1], hold.row[2]}, hold.until});
        }
    }
    this->grantedRanges = std::move(remaining);
    return {200, {{"X-Handover", "state-of-" + this->settings.id}}, ""};
}

void PlatformWorker::serve(const std::shared_ptr<net::Exchange> &exchange)
{
    const net::HttpRequest &request = exchange->request();
    if (request.target == "/api/grant") {
        exchange->answer(this->grant(json::parse(request.body)));
        return;
    }
    if (request.target == "/api/release") {
        exchange->answer(this->release(json::parse(request.body)));
        return;
    }
    if (request.target == "/health") {
        exchange->answer({200, {{"X-Upstream-Instance", this->settings.id}}, "ok"});
        return;
    }
    {
        const std::lock_guard guard(this->mutex);
        this->arrived.push_back({std::chrono::steady_clock::now(), valueOf(request, "X-Request-Id")});
    }
    const std::string key = valueOf(request, "X-Shard-Key");
    net::HttpAnswer answer;
    answer.headers = {{"X-Request-Id", valueOf(request, "X-Request-Id")}};
    if (this->rateLimit >= 0) {
        answer.headers.push_back({"Server-Limit", std::to_string(this->rateLimit)});
    }
    if (this->isLeaving) {
        answer.headers.push_back({"Server-Leaving", "1"});
    }
    if (valueOf(request, "X-Expected-Instance") != this->settings.id
        || (!key.empty() && !this->holds(std::stoull(key)))) {
        ++this->misdirected;
        answer.status = 421;
        answer.headers.push_back({"X-Not-Executed", "1"});
    } else {
        ++this->ran;
        answer.status = 200;
        answer.headers.push_back({"X-Upstream-Signature", this->settings.id});
        answer.body = this->settings.id + " " + request.method + " " + request.target + " " + request.body + " from "
                      + valueOf(request, "X-Downstream-Service");
    }
    const std::chrono::milliseconds workTime = this->workTime;
    if (workTime.count() == 0) {
        exchange->answer(std::move(answer));
        return;
    }
    this->loop->after(workTime, [exchange, answer = std::move(answer)]() mutable {
        exchange->answer(std::move(answer));
    });
}

void PlatformWorker::sendHeartbeat()
{
    const auto sentAt = std::chrono::steady_clock::now();
    json body = {
        {"address", this->settings.address + ":" + std::to_string(this->settings.port)},
        {"born", this->startedAtMs},
        {"info", {{"service", this->settings.service}, {"version", "v1"}, {"zone", this->settings.zone}, {"slots", 8}}},
        {"status", {{"state", "ready"}, {"seq", ++this->sequence}, {"warmup_left_ms", 0}}}};
    if (!this->settings.grantsByCall) {
        body["holds"] = json::array();
        for (const auto &row : this->held()) {
            body["holds"].push_back(row);
        }
        body["freed"] = std::exchange(this->releasedRows, json::array());
    }
    net::HttpCall call;
    call.address = this->settings.control;
    call.method = "PUT";
    call.target = "/api/instances/" + this->settings.id;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = body.dump();
    this->client->send(std::move(call), [this, sentAt](const net::CallResult &result) {
        const json answer = json::parse(result.answer.body, nullptr, false);
        if (result.outcome != net::CallOutcome::Answered || !answer.is_object() || !answer.contains("holds")) {
            return;
        }
        std::vector<std::array<std::uint64_t, 3>> grantedRows;
        for (const json &row : answer["holds"]) {
            grantedRows.push_back(
                {row[0].get<std::uint64_t>(), row[1].get<std::uint64_t>(), row[2].get<std::uint64_t>()});
        }
        const std::lock_guard guard(this->mutex);
        for (const auto &row : this->rows) {
            if (std::find(grantedRows.begin(), grantedRows.end(), row) == grantedRows.end()) {
                this->releasedRows.push_back({row[0], row[1], "state-of-" + this->settings.id});
            }
        }
        this->rows = std::move(grantedRows);
        this->heldUntil = sentAt + std::chrono::milliseconds(answer["hold_ms"].get<std::uint64_t>());
    });
}

} // namespace bergamotweir::test
