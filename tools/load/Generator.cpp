#include "Generator.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <cmath>

namespace bergamotweir::load {

namespace {

constexpr std::chrono::milliseconds ResendDelay{5};
/**
 * Time that the client waits beyond the Request-Timeout: an agent answers at the deadline, and that answer has to be
 * received.
 */
constexpr std::chrono::milliseconds TimeoutMargin{300};
constexpr int FirstRedirectStatus = 300;

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

Verdict verdictOf(const net::CallResult &result, const std::string &testId, bool hasIdempotencyKey)
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
        return Verdict::IncompleteAnswer;
    }
    if (result.answer.status >= FirstRedirectStatus) {
        return refusedVerdict(result.answer);
    }
    const std::string *echo = net::findHeader(result.answer.headers, "Test-Id");
    // A stored answer that is replayed for the Idempotency-Key has no headers of the upstream.
    const bool headerMatches = echo == nullptr ? hasIdempotencyKey : *echo == testId;
    const bool isOwnAnswer =
        headerMatches && result.answer.body.find("\"test_id\":\"" + testId + "\"") != std::string::npos;
    return isOwnAnswer ? Verdict::Answered : Verdict::Wrong;
}

} // namespace

Generator::Generator(loop::EventLoop &loop, const LoadSettings &settings, std::function<void()> onEnd)
    : loop(loop)
    , settings(settings)
    , onEnd(std::move(onEnd))
    , client(loop, {.maxIdleConnections = 8192, .maxConnectionsPerPeer = settings.connections})
    , random(settings.seed)
    // The reactor's timers have a resolution of one millisecond; arrivals need a finer one.
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
    this->startedAt = BootClock::now();
    this->endAt = this->startedAt + this->settings.duration;
    this->nextArrivalAt = this->startedAt;
    this->loop.watch(this->timer, {.readable = true}, [this](loop::Readiness) {
        std::uint64_t expirations = 0;
        if (read(this->timer, &expirations, sizeof expirations) > 0) {
            this->onTimer();
        }
    });
    this->loop.after(this->settings.duration, [this] {
        this->isOver = true;
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
    const auto since = this->nextArrivalAt.time_since_epoch();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(since);
    const itimerspec at{.it_interval = {},
                        .it_value = {.tv_sec = seconds.count(), .tv_nsec = (since - seconds).count()}};
    timerfd_settime(this->timer, TFD_TIMER_ABSTIME, &at, nullptr);
}

void Generator::onTimer()
{
    while (this->nextArrivalAt <= BootClock::now() && this->nextArrivalAt < this->endAt) {
        this->sendOne(this->nextArrivalAt);
        const double interval = -std::log(1 - this->uniform()) / this->settings.rate;
        this->nextArrivalAt +=
            std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(interval));
    }
    if (this->nextArrivalAt < this->endAt) {
        this->armTimer();
    }
}

void Generator::sendOne(BootTime intendedAt)
{
    Outcome &record = this->outcomes.emplace_back();
    record.number = this->outcomes.size();
    record.intendedAt = intendedAt;
    const bool isSingleService = this->settings.keyedService.empty() || this->settings.unkeyedService.empty();
    const bool isKeyed =
        isSingleService ? !this->settings.keyedService.empty() : this->uniform() < this->settings.keyedShare;
    if (isKeyed) {
        const bool isPost = this->uniform() < this->settings.postShare;
        record.kind = isPost ? Kind::KeyedPost : Kind::KeyedGet;
        record.key = static_cast<unsigned>(this->random(this->settings.keys));
        record.hasIdempotencyKey = isPost && this->uniform() < this->settings.idempotencyShare;
        record.isResent = record.hasIdempotencyKey && this->uniform() < this->settings.resendShare;
    }
    ++this->inProgress;
    // The reference stays valid: a deque does not move its elements when it grows at its end.
    this->client.send(this->callFor(record), [this, &record](const net::CallResult &result) {
        record.endedAt = BootClock::now();
        record.status = result.answer.status;
        record.verdict = verdictOf(result, this->testId(record), record.hasIdempotencyKey);
        --this->inProgress;
        if (this->settings.concurrency != 0 && !this->isOver) {
            this->sendOne(BootClock::now());
        }
        this->checkEnd();
    });
    if (record.isResent) {
        this->resend(record);
    }
}

void Generator::resend(Outcome &record)
{
    ++this->inProgress;
    this->loop.after(ResendDelay, [this, &record] {
        this->client.send(this->callFor(record), [this, &record](const net::CallResult &result) {
            record.secondVerdict = verdictOf(result, this->testId(record), record.hasIdempotencyKey);
            --this->inProgress;
            this->checkEnd();
        });
    });
}

net::HttpCall Generator::callFor(const Outcome &record)
{
    const std::string id = this->testId(record);
    const bool isKeyed = record.kind != Kind::UnkeyedGet;
    net::HttpCall call;
    call.address = this->settings.targets[this->random(static_cast<std::uint32_t>(this->settings.targets.size()))];
    call.target = "/s/" + (isKeyed ? this->settings.keyedService : this->settings.unkeyedService) + "/item";
    call.headers = {{"Test-Id", id}, {"Request-Timeout", std::to_string(this->settings.timeout.count())}};
    call.timeout = this->settings.timeout + TimeoutMargin;
    if (isKeyed) {
        call.headers.push_back({"Routing-Key", "key-" + std::to_string(record.key)});
    }
    if (record.kind == Kind::KeyedPost) {
        call.method = "POST";
        call.headers.push_back({"Content-Type", "application/json"});
        call.body = "{\"test_id\":\"" + id + "\"}";
    }
    if (record.hasIdempotencyKey) {
        call.headers.push_back({"Idempotency-Key", id});
    }
    return call;
}

void Generator::checkEnd()
{
    if (this->isOver && this->inProgress == 0 && this->onEnd) {
        const std::function<void()> callback = std::move(this->onEnd);
        this->onEnd = nullptr;
        callback();
    }
}

double Generator::uniform()
{
    constexpr int MantissaBits = 53;
    return std::ldexp(static_cast<double>(this->random() >> (64 - MantissaBits)), -MantissaBits);
}

} // namespace bergamotweir::load
