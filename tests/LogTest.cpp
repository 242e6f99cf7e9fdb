#include "loop/Log.h"
#include "loop/LogLimiter.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

loop::LogSite calledFrom(loop::LogSite site = loop::LogSite::here())
{
    return site;
}

} // namespace

TEST_CASE("a noisy line of the program can neither flood the log nor crowd out the others")
{
    // An upstream refuses every request for a minute, and each refusal logs a line: without a bound the log would fill
    // the disk at the very moment somebody needs it.
    loop::LogLimiter limiter;
    const loop::LogSite noisy = loop::LogSite::here();
    const loop::LogSite rare = calledFrom();
    REQUIRE(rare.line == __LINE__ - 1);
    BootTime now{1h};
    unsigned written = 0;
    for (int i = 0; i < 60000; ++i, now += 1ms) {
        written += limiter.allow(noisy, now).has_value() ? 1 : 0;
    }
    CHECK(written == 6 * loop::LogLimiter::MostPerWindow);
    CHECK(limiter.allow(rare, now) == std::optional<std::uint64_t>(0));
    CHECK(limiter.allow(noisy, now + 10s) == std::optional<std::uint64_t>(10000 - loop::LogLimiter::MostPerWindow));
}

TEST_CASE("a caller's key is told as a hash only")
{
    CHECK(loop::redacted("learner-4711").find("4711") == std::string::npos);
    CHECK(loop::redacted("learner-4711") == loop::redacted("learner-4711"));
    CHECK(loop::redacted("learner-4711") != loop::redacted("learner-4712"));
}
