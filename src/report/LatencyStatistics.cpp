#include "report/LatencyStatistics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace bergamotweir::report {

namespace {

namespace acc = boost::accumulators;

using Set =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max, acc::tag::extended_p_square>>;

constexpr std::array<double, 3> Quantiles{0.5, 0.99, 0.999};

/** The estimator needs a marker round each quantile before it says anything. */
constexpr std::size_t LeastSamples = 2 * Quantiles.size() + 3;

std::chrono::nanoseconds toTime(double nanoseconds)
{
    return std::chrono::nanoseconds(std::llround(nanoseconds));
}

} // namespace

struct LatencyStatistics::Accumulator {
    Set set{acc::tag::extended_p_square::probabilities = Quantiles};
};

LatencyStatistics::LatencyStatistics()
    : present(std::make_unique<Accumulator>())
{
}

LatencyStatistics::~LatencyStatistics() = default;
LatencyStatistics::LatencyStatistics(LatencyStatistics &&other) noexcept = default;
LatencyStatistics &LatencyStatistics::operator=(LatencyStatistics &&other) noexcept = default;

void LatencyStatistics::turn(BootTime now)
{
    if (now - this->presentStart < Period) {
        return;
    }
    const bool wasPresent = now - this->presentStart < 2 * Period && acc::count(this->present->set) > 0;
    this->last = wasPresent ? std::move(this->present) : nullptr;
    this->present = std::make_unique<Accumulator>();
    this->presentStart = now;
}

void LatencyStatistics::add(std::chrono::nanoseconds latency, BootTime now)
{
    this->turn(now);
    this->present->set(static_cast<double>(latency.count()));
}

LatencySummary LatencyStatistics::summary(BootTime now) const
{
    const bool isStale = now - this->presentStart >= 2 * Period;
    const Set &set = this->last != nullptr && !isStale ? this->last->set : this->present->set;
    LatencySummary summary;
    if (isStale || acc::count(set) == 0) {
        return summary;
    }
    summary.count = acc::count(set);
    summary.mean = toTime(acc::mean(set));
    summary.maximum = toTime((acc::max)(set));
    if (summary.count < LeastSamples) {
        // Too few for an estimate: the honest bound is the largest one.
        summary.p50 = summary.p99 = summary.p999 = summary.maximum;
        return summary;
    }
    const auto estimates = acc::extended_p_square(set);
    summary.p50 = toTime(estimates[0]);
    summary.p99 = toTime(estimates[1]);
    summary.p999 = toTime(estimates[2]);
    return summary;
}

} // namespace bergamotweir::report
