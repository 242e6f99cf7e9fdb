#include "Generator.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <cmath>

namespace bergamotweir::load {

namespace {

constexpr std::chrono::milliseconds ResendDelay{5};
/** Beyond the request's own time: an agent answers at its deadline, and that answer is wanted. */
constexpr std::chrono::milliseconds TimeoutMargin{300};
constexpr int FirstRedirect = 300;

Verdict refusedVerdict(const net::HttpAnswer &answer)
{
    const std::string *ran = net::findHeader(answer.headers, "Request-Ran");
    if (ran == nullptr) {
        return Verdict::Error;
    }
    if (*ran == "no") {
        return Verdict::RefusedNo;
    }
    return *ran == "yes" ? Verdict::RefusedYes : Verdict::RefusedUnknown;
}

Verdict verdictOf(const net::CallResult &result, const std::string &testId, bool withIdempotencyKey)
{
    switch (result.outcome) {
    case net::CallOutcome::NotSent:
        return Verdict::NotSent;
    case net::CallOutcome::TimedOut:
        return Verdict::TimedOut;
    case net::CallOutcome::Answered:
        break;
    case net::CallOutcome::ConnectionLost:
    case net::CallOutcome::TruncatedAnswer:
    case net::CallOutcome::TooLarge:
    case net::CallOutcome::Cancelled:
        return Verdict::Broken;
    }
    if (result.answer.status >= FirstRedirect) {
        return refusedVerdict(result.answer);
    }
    const std::string *echo = net::findHeader(result.answer.headers, "Test-Id");
    // An answer that was recorded for the Idempotency-Key comes without the upstream's headers.
    const bool ownHeader = echo == nullptr ? withIdempotencyKey : *echo == testId;
    const bool own = ownHeader && result.answer.body.find("\"test_id\":\"" + testId + "\"") != std::string::npos;
    return own ? Verdict::Answered : Verdict::Wrong;
}

} // namespace

Generator::Generator(loop::EventLoop &loop, const LoadSettings &settings, std::function<void()> ended)
    : loop(loop)
    , settings(settings)
    , ended(std::move(ended))
    , client(loop, {.maxIdleConnections = 8192, .maxConnectionsPerPeer = settings.connections})
    , random(settings.seed)
    // The reactor's timers have a grain of a millisecond; arrivals need a finer one.
    , timer(timerfd_create(CLOCK_BOOTTIME, TFD_CLOEXEC | TFD_NONBLOCK))
    , prefix(std::to_string(getpid()) + "-" + std::to_string(BootClock::now().time_since_epoch().count()) + "-")
{
}

Generator::~Generator()
{
    this->loop.unwatch(this->timer);
    close(this->timer);
}

void Generator::start()
{
    this->begun = BootClock::now();
    this->end = this->begun + this->settings.duration;
    this->nextArrival = this->begun;
    this->loop.watch(this->timer, {.readable = true}, [this](loop::Readiness) {
        std::uint64_t expirations = 0;
        if (read(this->timer, &expirations, sizeof expirations) > 0) {
            this->onTimer();
        }
    });
    this->loop.after(this->settings.duration, [this] {
        this->over = true;
        this->checkEnd();
    });
    for (unsigned i = 0; i < this->settings.concurrency; ++i) {
        this->sendOne(BootClock::now());
    }
    if (this->settings.concurrency == 0) {
        this->armTimer();
    }
}

std::string Generator::testId(const Outcome &record) const
{
    return this->prefix + std::to_string(record.number);
}

void Generator::armTimer()
{
    const auto since = this->nextArrival.time_since_epoch();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(since);
    const itimerspec at{.it_interval = {},
                        .it_value = {.tv_sec = seconds.count(), .tv_nsec = (since - seconds).count()}};
    timerfd_settime(this->timer, TFD_TIMER_ABSTIME, &at, nullptr);
}

void Generator::onTimer()
{
    while (this->nextArrival <= BootClock::now() && this->nextArrival < this->end) {
        this->sendOne(this->nextArrival);
        const double gap = -std::log(1 - this->uniform()) / this->settings.rate;
        this->nextArrival += std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(gap));
    }
    if (this->nextArrival < this->end) {
        this->armTimer();
    }
}

void Generator::sendOne(BootTime intended)
{
    Outcome &record = this->outcomes.emplace_back();
    record.number = this->outcomes.size();
    record.intended = intended;
    const bool onlyOne = this->settings.keyedService.empty() || this->settings.unkeyedService.empty();
    const bool keyed = onlyOne ? !this->settings.keyedService.empty() : this->uniform() < this->settings.keyedShare;
    if (keyed) {
        const bool post = this->uniform() < this->settings.postShare;
        record.kind = post ? Kind::KeyedPost : Kind::KeyedGet;
        record.key = static_cast<unsigned>(this->random(this->settings.keys));
        record.withIdempotencyKey = post && this->uniform() < this->settings.idempotencyShare;
        record.resent = record.withIdempotencyKey && this->uniform() < this->settings.resendShare;
    }
    ++this->inProgress;
    // A deque does not move its elements when it grows.
    this->client.send(this->callFor(record), [this, &record](const net::CallResult &result) {
        record.ended = BootClock::now();
        record.status = result.answer.status;
        record.verdict = verdictOf(result, this->testId(record), record.withIdempotencyKey);
        --this->inProgress;
        if (this->settings.concurrency != 0 && !this->over) {
            this->sendOne(BootClock::now());
        }
        this->checkEnd();
    });
    if (record.resent) {
        this->sendAgain(record);
    }
}

void Generator::sendAgain(Outcome &record)
{
    ++this->inProgress;
    this->loop.after(ResendDelay, [this, &record] {
        this->client.send(this->callFor(record), [this, &record](const net::CallResult &result) {
            record.second = verdictOf(result, this->testId(record), record.withIdempotencyKey);
            --this->inProgress;
            this->checkEnd();
        });
    });
}

net::HttpCall Generator::callFor(const Outcome &record)
{
    const std::string id = this->testId(record);
    const bool keyed = record.kind != Kind::UnkeyedGet;
    net::HttpCall call;
    call.address = this->settings.targets[this->random(static_cast<std::uint32_t>(this->settings.targets.size()))];
    call.target = "/s/" + (keyed ? this->settings.keyedService : this->settings.unkeyedService) + "/item";
    call.headers = {{"Test-Id", id}, {"Request-Timeout", std::to_string(this->settings.timeout.count())}};
    call.timeout = this->settings.timeout + TimeoutMargin;
    if (keyed) {
        call.headers.push_back({"Routing-Key", "key-" + std::to_string(record.key)});
    }
    if (record.kind == Kind::KeyedPost) {
        call.method = "POST";
        call.headers.push_back({"Content-Type", "application/json"});
        call.body = "{\"test_id\":\"" + id + "\"}";
    }
    if (record.withIdempotencyKey) {
        call.headers.push_back({"Idempotency-Key", id});
    }
    return call;
}

void Generator::checkEnd()
{
    if (this->over && this->inProgress == 0 && this->ended) {
        const std::function<void()> task = std::move(this->ended);
        this->ended = nullptr;
        task();
    }
}

double Generator::uniform()
{
    constexpr int Bits = 53;
    return std::ldexp(static_cast<double>(this->random() >> (64 - Bits)), -Bits);
}

} // namespace bergamotweir::load
