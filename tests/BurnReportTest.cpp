#include "report/BurnReport.h"
#include "report/BurnState.h"
#include "report/Metric.h"
#include "table/Table.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace bergamotweir::report;
using namespace std::chrono_literals;

namespace {

constexpr BootTime Start{100h};

BurnState feesState()
{
    BurnState state{.start = Start, .services = {}};
    setObjectives(
        state, table::Table::parse("service,slo_availability,slo_latency_ms,slo_percentile\nfees,99,20,90\n").value());
    return state;
}

CompletedRequest feesRequest(Outcome outcome, std::chrono::nanoseconds latency = 1ms, std::string_view upstream = "f1")
{
    return {"fees", upstream, "bne-a", outcome, latency};
}

ServiceReport feesReport(const BurnState &state, BootTime now)
{
    return makeReport(state, now).services.at(0);
}

} // namespace

TEST_CASE("refused, failed and late requests burn the budget; a fault of the caller does not")
{
    BurnState state = feesState();
    for (int i = 0; i < 94; ++i) {
        record(state, feesRequest(Outcome::Answered), Start);
    }
    record(state, feesRequest(Outcome::Refused, 1ms, ""), Start);
    record(state, feesRequest(Outcome::Failed, 50ms, "f2"), Start);
    for (int i = 0; i < 4; ++i) {
        record(state, feesRequest(Outcome::Answered, 21ms), Start);
    }
    record(state, feesRequest(Outcome::CallerFault), Start);
    record(state, {"unknown", "", "", Outcome::Refused, 1ms}, Start);
    const ServiceReport fees = feesReport(state, Start + 1min);
    CHECK(fees.windows[FastShort] == Counts{.total = 100, .refused = 1, .failed = 1, .late = 4});
    CHECK(availabilityBurn(fees).rates[FastShort] == Approx(2));
    CHECK(availabilityBurn(fees).budgetLeft == Approx(-1));
    CHECK(latencyBurn(fees).rates[FastShort] == Approx(4 / 98.0 / 0.1));
    REQUIRE(fees.blames.size() == 3);
    CHECK(fees.blames[0].upstream == "f1");
    CHECK(fees.blames[0].hour.late == 4);
    CHECK(state.services.size() == 1);
}

TEST_CASE("an alarm needs both a short and a long window, and clears soon after the fault ends")
{
    // An outage of ten minutes must raise the fast alarm while it lasts, so that the on-call engineer is paged. The
    // alarm must clear soon afterwards: the long windows still count the outage hours after it was mended.
    BurnState state = feesState();
    BootTime now = Start;
    const auto run = [&](std::chrono::minutes span, Outcome outcome) {
        for (const BootTime end = now + span; now < end; now += 1s) {
            record(state, feesRequest(outcome), now);
        }
    };
    run(50min, Outcome::Answered);
    CHECK_FALSE(availabilityBurn(feesReport(state, now)).fastAlarm);
    run(1min, Outcome::Failed);
    // 1 minute of 5 failed, but only 1 of 51: the long window is below the alarm rate.
    CHECK(availabilityBurn(feesReport(state, now)).rates[FastShort] >= FastBurnRate);
    CHECK_FALSE(availabilityBurn(feesReport(state, now)).fastAlarm);
    run(9min, Outcome::Failed);
    CHECK(availabilityBurn(feesReport(state, now)).fastAlarm);
    run(6min, Outcome::Answered);
    CHECK_FALSE(availabilityBurn(feesReport(state, now)).fastAlarm);
    CHECK(availabilityBurn(feesReport(state, now)).slowAlarm);
    run(360min, Outcome::Answered);
    CHECK(feesReport(state, now).windows[SlowLong].failed == 0);
    CHECK(feesReport(state, now).blames.empty());
}

TEST_CASE("memory stays bounded regardless of how many upstreams fail")
{
    BurnState state = feesState();
    for (int i = 0; i < 3000; ++i) {
        record(state, feesRequest(Outcome::Failed, 1ms, "f" + std::to_string(i)), Start);
    }
    const ServiceReport fees = feesReport(state, Start);
    CHECK(fees.blames.size() == MaxBlamed + 1);
    CHECK(fees.blames.front().upstream == OtherUpstreams);
    CHECK(fees.blames.front().hour.failed == 3000 - MaxBlamed);
}

TEST_CASE("latency quantiles are close to the exact ones and exclude old periods")
{
    LatencyStatistics statistics;
    BootTime now = Start;
    statistics.add(10s, now);
    now += LatencyStatistics::Period;
    for (int i = 1; i <= 100000; ++i) {
        // 7919 is prime, so this gives every value of 1..100000 once, in a mixed order.
        statistics.add(std::chrono::microseconds(i * 7919LL % 100000 + 1), now);
    }
    now += LatencyStatistics::Period;
    statistics.add(1ms, now);
    const LatencySummary summary = statistics.summary(now);
    CHECK(summary.count == 100000);
    CHECK(summary.p50.count() == Approx(50e6).epsilon(0.02));
    CHECK(summary.p99.count() == Approx(99e6).epsilon(0.02));
    CHECK(summary.maximum == 100ms);
    CHECK(statistics.summary(now + 2 * LatencyStatistics::Period).count == 0);
}

TEST_CASE("burn reports of agents are read back and merged, and malformed ones are refused")
{
    BurnState state = feesState();
    record(state, feesRequest(Outcome::Failed), Start);
    record(state, feesRequest(Outcome::Answered), Start);
    const BurnReport one = makeReport(state, Start + 90s);
    BurnReport sum = fromJson(toJson(one)).value();
    CHECK(toJson(sum) == toJson(one));
    merge(sum, one);
    CHECK(sum.agents == 2);
    CHECK(sum.services.at(0).windows[SlowLong] == Counts{.total = 4, .refused = 0, .failed = 2, .late = 0});
    CHECK(sum.services.at(0).blames.at(0).hour.failed == 2);
    CHECK(toText(sum).find("burned by bne-a f1: 0 refused, 2 failed, 0 late") != std::string::npos);
    for (const char *damaged :
         {"", "{}", "[]", "{\"agents\":1,\"counting_s\":1,\"services\":[{}],\"unreachable\":[]}"}) {
        CHECK_FALSE(fromJson(damaged));
    }
}

TEST_CASE("metrics follow the Prometheus text format")
{
    const std::vector<Metric> metrics{
        {"a_total", "Help.", MetricType::Counter, {{{{"x", "q\"\\\n"}, {"y", "1"}}, 2.5}, {{}, 3}}},
    };
    CHECK(toPrometheus(metrics)
          == "# HELP a_total Help.\n# TYPE a_total counter\na_total{x=\"q\\\"\\\\\\n\",y=\"1\"} 2.5\na_total 3\n");
    BurnState state = feesState();
    record(state, feesRequest(Outcome::Refused), Start);
    const std::string text = toPrometheus(burnMetrics(makeReport(state, Start)));
    CHECK(text.find("bergamotweir_requests_total{service=\"fees\",end=\"refused\"} 1\n") != std::string::npos);
    CHECK(text.find("bergamotweir_budget_left{service=\"fees\",objective=\"availability\"} -99") != std::string::npos);
}
