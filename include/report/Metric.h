#pragma once

#include <string>
#include <utility>
#include <vector>

namespace bergamotweir::report {

struct BurnReport;

/** Type of a metric in the Prometheus text format. */
enum class MetricType {
    Counter,
    Gauge,
};

/** One value of a metric with its labels. */
struct Sample {
    std::vector<std::pair<std::string, std::string>> labels;
    double value = 0;
};

/** A metric with all its samples. */
struct Metric {
    std::string name;
    std::string help;
    MetricType type = MetricType::Gauge;
    std::vector<Sample> samples;
};

/** @return the metrics in the Prometheus text format, version 0.0.4 */
std::string toPrometheus(const std::vector<Metric> &metrics);

/** @return metrics of requests, latency, burn rates and budgets, from an agent's own report */
std::vector<Metric> burnMetrics(const BurnReport &report);

} // namespace bergamotweir::report
