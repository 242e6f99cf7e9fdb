#include "process/AgentReport.h"
#include "process/AgentState.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

process::RequestSummary summaryOf(int status, bool refused)
{
    return {.service = "fees", .upstream = 7, .status = status, .refused = refused, .latency = 1ms};
}

} // namespace

TEST_CASE(
    "an agent attributes what burned the budget to the system, the upstream or nobody, and renders it on three pages")
{
    process::AgentState state;
    state.table = table::Table::parse("service\nfees\n").value();
    state.map.upstreams[7].set_name("f1");
    process::AgentReport report(state);
    report.tableChanged();
    report.recordCompleted(summaryOf(200, false));
    report.recordCompleted(summaryOf(500, false));
    report.recordCompleted(summaryOf(502, true));
    report.recordCompleted(summaryOf(504, true));
    report.recordCompleted(summaryOf(503, true));
    report.recordCompleted(summaryOf(422, true));
    // Faults of the caller, which are not counted.
    report.recordCompleted(summaryOf(400, true));
    report.recordCompleted(summaryOf(409, true));
    const std::string text = report.answer("/burn", {}).value().body;
    CHECK(text.find("last 6 h: 6 requests, 2 refused, 3 failed, 0 late") != std::string::npos);
    CHECK(text.find("f1: 2 refused, 3 failed, 0 late") != std::string::npos);
    CHECK(report.answer("/burn?json", {}).value().body.front() == '{');
    CHECK(report.answer("/metrics", {}).value().body.find("requests_total{service=\"fees\",end=\"failed\"} 3\n")
          != std::string::npos);
    CHECK_FALSE(report.answer("/burn/x", {}).has_value());
}
