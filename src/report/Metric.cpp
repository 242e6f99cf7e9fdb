#include "report/Metric.h"

#include "report/BurnReport.h"

#include <array>
#include <charconv>
#include <cmath>

namespace bergamotweir::report {

namespace {

using Labels = std::vector<std::pair<std::string, std::string>>;

std::string escaped(const std::string &label)
{
    std::string text;
    for (const char character : label) {
        if (character == '\n') {
            text += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            text += '\\';
        }
        text += character;
    }
    return text;
}

std::string toText(double value)
{
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    std::array<char, 40> text{};
    const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() ? std::string(text.data(), end) : "NaN";
}

const char *typeName(MetricType type)
{
    return type == MetricType::Counter ? "counter" : "gauge";
}

std::string toText(const Metric &metric, const Sample &sample)
{
    std::string line = metric.name;
    for (const auto &[name, value] : sample.labels) {
        line += (&name == &sample.labels.front().first ? "{" : ",") + name + "=\"" + escaped(value) + "\"";
    }
    return line + (sample.labels.empty() ? " " : "} ") + toText(sample.value) + "\n";
}

double toSeconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

Metric requestCounts(const BurnReport &report)
{
    Metric metric{"bergamotweir_requests_total",
                  "Requests that this agent received from callers, by outcome (label end); late requests are counted "
                  "as answered too.",
                  MetricType::Counter,
                  {}};
    for (const ServiceReport &service : report.services) {
        const Counts &counts = service.sinceStart;
        const auto add = [&](const char *outcome, std::uint64_t count) {
            metric.samples.push_back({{{"service", service.service}, {"end", outcome}}, static_cast<double>(count)});
        };
        add("answered", counts.total - counts.refused - counts.failed);
        add("late", counts.late);
        add("refused", counts.refused);
        add("failed", counts.failed);
    }
    return metric;
}

Metric latencies(const BurnReport &report)
{
    Metric metric{"bergamotweir_answer_seconds",
                  "Time from the request to the whole answer over the last minutes; the quantiles are estimates.",
                  MetricType::Gauge,
                  {}};
    for (const ServiceReport &service : report.services) {
        const LatencySummary &latency = service.latency;
        const auto add = [&](const char *quantile, std::chrono::nanoseconds time) {
            metric.samples.push_back({{{"service", service.service}, {"quantile", quantile}}, toSeconds(time)});
        };
        add("0.5", latency.p50);
        add("0.99", latency.p99);
        add("0.999", latency.p999);
    }
    return metric;
}

void addBurn(Metric &rates, Metric &budgets, const std::string &service, const char *objective, const Burn &burn)
{
    constexpr std::array<const char *, Windows.size()> Names{"5m", "1h", "30m", "6h"};
    for (std::size_t i = 0; i < Windows.size(); ++i) {
        rates.samples.push_back(
            {{{"service", service}, {"objective", objective}, {"window", Names[i]}}, burn.rates[i]});
    }
    budgets.samples.push_back({{{"service", service}, {"objective", objective}}, burn.budgetLeft});
}

} // namespace

std::string toPrometheus(const std::vector<Metric> &metrics)
{
    std::string text;
    for (const Metric &metric : metrics) {
        text += "# HELP " + metric.name + " " + metric.help + "\n# TYPE " + metric.name + " " + typeName(metric.type)
                + "\n";
        for (const Sample &sample : metric.samples) {
            text += toText(metric, sample);
        }
    }
    return text;
}

std::vector<Metric> burnMetrics(const BurnReport &report)
{
    Metric rates{"bergamotweir_burn_rate",
                 "Burn rate of an objective; a rate of 1 uses up exactly the error budget.",
                 MetricType::Gauge,
                 {}};
    Metric budgets{"bergamotweir_budget_left",
                   "Fraction of the error budget of the last six hours that remains.",
                   MetricType::Gauge,
                   {}};
    for (const ServiceReport &service : report.services) {
        addBurn(rates, budgets, service.service, "availability", availabilityBurn(service));
        addBurn(rates, budgets, service.service, "latency", latencyBurn(service));
    }
    return {requestCounts(report), latencies(report), rates, budgets};
}

} // namespace bergamotweir::report
