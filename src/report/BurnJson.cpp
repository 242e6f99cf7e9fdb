#include "report/BurnReport.h"

#include <nlohmann/json.hpp>

namespace bergamotweir::report {

namespace {

using Json = nlohmann::json;

constexpr std::array<const char *, Windows.size()> WindowNames{"5m", "1h", "30m", "6h"};

/** Reads an unsigned integer; rejects fractions and negative numbers, which a plain conversion would alter. */
std::uint64_t readUnsigned(const Json &json, const char *name)
{
    return json.at(name).get_ref<const Json::number_unsigned_t &>();
}

Json toJson(const Counts &counts)
{
    return {{"total", counts.total}, {"refused", counts.refused}, {"failed", counts.failed}, {"late", counts.late}};
}

Counts toCounts(const Json &json)
{
    return {.total = readUnsigned(json, "total"),
            .refused = readUnsigned(json, "refused"),
            .failed = readUnsigned(json, "failed"),
            .late = readUnsigned(json, "late")};
}

Json toJson(const Burn &burn)
{
    Json rates;
    for (std::size_t i = 0; i < Windows.size(); ++i) {
        rates[WindowNames[i]] = burn.rates[i];
    }
    return {{"burn_rates", rates},
            {"budget_left", burn.budgetLeft},
            {"fast_alarm", burn.fastAlarm},
            {"slow_alarm", burn.slowAlarm}};
}

Json toJson(const LatencySummary &latency)
{
    return {{"count", latency.count},
            {"mean_ns", latency.mean.count()},
            {"p50_ns", latency.p50.count()},
            {"p99_ns", latency.p99.count()},
            {"p999_ns", latency.p999.count()},
            {"max_ns", latency.maximum.count()}};
}

LatencySummary toLatency(const Json &json)
{
    const auto readTime = [&](const char *name) {
        return std::chrono::nanoseconds(readUnsigned(json, name));
    };
    return {.count = readUnsigned(json, "count"),
            .mean = readTime("mean_ns"),
            .p50 = readTime("p50_ns"),
            .p99 = readTime("p99_ns"),
            .p999 = readTime("p999_ns"),
            .maximum = readTime("max_ns")};
}

Json toJson(const ServiceReport &service)
{
    Json windows;
    for (std::size_t i = 0; i < Windows.size(); ++i) {
        windows[WindowNames[i]] = toJson(service.windows[i]);
    }
    Json blames = Json::array();
    for (const BlameReport &blame : service.blames) {
        blames.push_back({{"failure_domain", blame.failureDomain},
                          {"upstream", blame.upstream},
                          {"1h", toJson(blame.hour)},
                          {"6h", toJson(blame.sixHours)}});
    }
    return {{"service", service.service},
            {"slo_availability", service.objectives.sloAvailability},
            {"slo_latency_ms", service.objectives.sloLatency.count()},
            {"slo_percentile", service.objectives.sloPercentile},
            {"windows", windows},
            {"since_start", toJson(service.sinceStart)},
            {"latency", toJson(service.latency)},
            {"availability", toJson(availabilityBurn(service))},
            {"latency_objective", toJson(latencyBurn(service))},
            {"burned_by", blames}};
}

ServiceReport toService(const Json &json)
{
    ServiceReport service;
    service.service = json.at("service").get<std::string>();
    service.objectives.sloAvailability = json.at("slo_availability").get<double>();
    service.objectives.sloLatency = std::chrono::milliseconds(readUnsigned(json, "slo_latency_ms"));
    service.objectives.sloPercentile = json.at("slo_percentile").get<double>();
    for (std::size_t i = 0; i < Windows.size(); ++i) {
        service.windows[i] = toCounts(json.at("windows").at(WindowNames[i]));
    }
    service.sinceStart = toCounts(json.at("since_start"));
    service.latency = toLatency(json.at("latency"));
    for (const Json &blame : json.at("burned_by")) {
        service.blames.push_back({blame.at("failure_domain").get<std::string>(),
                                  blame.at("upstream").get<std::string>(),
                                  toCounts(blame.at("1h")),
                                  toCounts(blame.at("6h"))});
    }
    return service;
}

} // namespace

std::string toJson(const BurnReport &report)
{
    Json services = Json::array();
    for (const ServiceReport &service : report.services) {
        services.push_back(toJson(service));
    }
    const Json json{{"agents", report.agents},
                    {"counting_s", report.counting.count()},
                    {"services", services},
                    {"unreachable", report.unreachable}};
    // Names come from upstreams and may hold any bytes. Invalid UTF-8 is replaced, as dump() would throw on it.
    return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

Result<BurnReport> fromJson(std::string_view text)
{
    // The JSON library reports errors by exceptions; they don't leave this function.
    try {
        const Json json = Json::parse(text);
        BurnReport report;
        report.agents = static_cast<unsigned>(readUnsigned(json, "agents"));
        report.counting = std::chrono::seconds(readUnsigned(json, "counting_s"));
        report.unreachable = json.at("unreachable").get<std::vector<std::string>>();
        for (const Json &service : json.at("services")) {
            report.services.push_back(toService(service));
        }
        return report;
    } catch (const Json::exception &error) {
        return oneFinding("burn report", error.what());
    }
}

} // namespace bergamotweir::report
