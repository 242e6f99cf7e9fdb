#include "loop/Log.h"
#include "loop/LogLimiter.h"

#include "loop/PipeAppender.h"

#include <catch2/catch.hpp>
#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

loop::LogSite calledFrom(loop::LogSite site = loop::LogSite::here())
{
    return site;
}

} // namespace

TEST_CASE("a noisy call site can neither flood the log nor suppress the lines of others")
{
    // An upstream refuses every request for a minute and each refusal logs a line. Without a bound the log would fill
    // the disk during the fault.
    loop::LogLimiter limiter;
    const loop::LogSite noisy = loop::LogSite::here();
    const loop::LogSite rare = calledFrom();
    REQUIRE(rare.line == __LINE__ - 1);
    BootTime now{1h};
    unsigned written = 0;
    for (int i = 0; i < 60000; ++i, now += 1ms) {
        written += limiter.allow(noisy, now).has_value() ? 1 : 0;
    }
    CHECK(written == 6 * loop::LogLimiter::MaxPerWindow);
    CHECK(limiter.allow(rare, now) == std::optional<std::uint64_t>(0));
    CHECK(limiter.allow(noisy, now + 10s) == std::optional<std::uint64_t>(10000 - loop::LogLimiter::MaxPerWindow));
}

TEST_CASE("a caller's key is logged only as a hash")
{
    CHECK(loop::redacted("learner-4711").find("4711") == std::string::npos);
    CHECK(loop::redacted("learner-4711") == loop::redacted("learner-4711"));
    CHECK(loop::redacted("learner-4711") != loop::redacted("learner-4712"));
}

namespace {

/** A pipe that is read only when the test calls read(). */
struct Pipe {
    int ends[2] = {-1, -1};

    Pipe()
    {
        REQUIRE(pipe(this->ends) == 0);
    }

    ~Pipe()
    {
        close(this->ends[0]);
        close(this->ends[1]);
    }

    std::string read() const
    {
        std::string text;
        char bytes[4096];
        pollfd ready{this->ends[0], POLLIN, 0};
        while (poll(&ready, 1, 0) > 0) {
            text.append(bytes, static_cast<std::size_t>(::read(this->ends[0], bytes, sizeof bytes)));
        }
        return text;
    }
};

/** Gives access to the protected append() of an appender. */
struct OpenAppender : loop::PipeAppender {
    using PipeAppender::PipeAppender;

    void write(log4cplus::LogLevel level, const std::string &line)
    {
        this->append(log4cplus::spi::InternalLoggingEvent("test", level, line, "", 0));
    }
};

} // namespace

// Guards against a process that blocks in the middle of a request because the reader of its log hangs and the pipe is
// full. Lines are kept in a bounded buffer; when it is full, lines about successful requests are dropped first.
TEST_CASE("a log that is not read drops lines without blocking, failures last, and reports the number of dropped lines")
{
    Pipe pipe;
    OpenAppender appender(pipe.ends[1]);
    const std::string ordinary = R"({"event":"ordinary","text":")" + std::string(200, 'x') + "\"}";
    const std::string failure = R"({"event":"failure"})";
    const auto begun = std::chrono::steady_clock::now();
    for (int number = 0; number < 20000; ++number) {
        appender.write(log4cplus::INFO_LOG_LEVEL, ordinary);
    }
    appender.write(log4cplus::WARN_LOG_LEVEL, failure);
    const auto took = std::chrono::steady_clock::now() - begun;
    CHECK(took < 1s);
    std::string seen;
    for (int round = 0; round < 100; ++round) {
        seen += pipe.read();
        appender.write(log4cplus::INFO_LOG_LEVEL, R"({"event":"after"})");
    }
    seen += pipe.read();
    CHECK(seen.find(R"("event":"failure")") != std::string::npos);
    const std::size_t lost = seen.find(R"("lines_lost":)");
    REQUIRE(lost != std::string::npos);
    const auto count = std::stoul(seen.substr(lost + 13));
    const auto written = static_cast<unsigned long>(std::count(seen.begin(), seen.end(), '\n'));
    CHECK(count + written == 20000 + 1 + 100);
}

TEST_CASE("lines about requests have their own bound per second")
{
    loop::LogLimiter limiter;
    const loop::LogSite site = loop::LogSite::here();
    BootTime now{1h};
    unsigned written = 0;
    for (int i = 0; i < 10000; ++i, now += 1ms) {
        written += limiter.allow(site, now, loop::RoutineBound).has_value() ? 1 : 0;
    }
    CHECK(written == 10 * loop::RoutineBound.maxMessages);
}
