#include "process/AgentMetrics.h"

#include <catch2/catch.hpp>

using namespace bergamotweir::process;
using namespace std::chrono_literals;

TEST_CASE("metrics: requests, refusals and times are rendered in the Prometheus text format")
{
    AgentMetrics metrics;
    metrics.requestEnded("browse", bergamotweir::table::RouteKind::Idempotent, "answered", 200);
    metrics.requestEnded("browse", bergamotweir::table::RouteKind::Idempotent, "answered", 200);
    metrics.refused("no-room");
    metrics.spent(TimeSpent::Queue, "catalogue", 40ms);
    metrics.connectionsOpened(5);
    metrics.connectionsOpened(3);
    metrics.revision(9, 2s);
    metrics.requestSent("catalogue");
    metrics.upstreamNotices("catalogue", 12.5, 1);
    const std::string text = metrics.text();
    CHECK(text.find("bergamotweir_requests_total{kind=\"idempotent\",outcome=\"answered\",route=\"browse\","
                    "status=\"200\"} 2")
          != std::string::npos);
    CHECK(text.find("bergamotweir_refusals_total{reason=\"no-room\"} 1") != std::string::npos);
    CHECK(text.find("bergamotweir_request_seconds_bucket{part=\"queue\",service=\"catalogue\",le=\"0.1\"} 1")
          != std::string::npos);
    CHECK(text.find("bergamotweir_request_seconds_bucket{part=\"queue\",service=\"catalogue\",le=\"0.03\"} 0")
          != std::string::npos);
    CHECK(text.find("bergamotweir_connections_opened_total 5") != std::string::npos);
    CHECK(text.find("bergamotweir_routes_revision 9") != std::string::npos);
    CHECK(text.find("bergamotweir_upstream_requests_total{service=\"catalogue\"} 1") != std::string::npos);
    CHECK(text.find("bergamotweir_upstream_rate_limit{service=\"catalogue\"} 12.5") != std::string::npos);
    CHECK(text.find("bergamotweir_upstreams_leaving{service=\"catalogue\"} 1") != std::string::npos);
}

TEST_CASE("metrics: thousands of routes make a bounded number of series")
{
    AgentMetrics metrics;
    for (int number = 0; number < 3000; ++number) {
        metrics.requestEnded("route-" + std::to_string(number), bergamotweir::table::RouteKind::Upload, "refused", 503);
        metrics.spent(TimeSpent::Whole, "service-" + std::to_string(number), 1ms);
    }
    const std::string text = metrics.text();
    std::size_t series = 0;
    for (std::size_t at = 0; (at = text.find("bergamotweir_requests_total{", at)) != std::string::npos; ++at) {
        ++series;
    }
    CHECK(series == AgentMetrics::MaxNames + 1);
    CHECK(text.find("route=\"other\"") != std::string::npos);
}

// Guards against a limit that stays in the metrics after the upstream that stated it has ended.
TEST_CASE("metrics: notices of services without upstreams are cleared")
{
    AgentMetrics metrics;
    metrics.upstreamNotices("catalogue", 12.5, 1);
    metrics.clearUpstreamNotices();
    CHECK(metrics.text().find("bergamotweir_upstream_rate_limit{service=\"catalogue\"} 0") != std::string::npos);
    CHECK(metrics.text().find("bergamotweir_upstreams_leaving{service=\"catalogue\"} 0") != std::string::npos);
}
