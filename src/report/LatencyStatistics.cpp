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

using AccumulatorSet =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max, acc::tag::extended_p_square>>;

constexpr std::array<double, 3> Quantiles{0.5, 0.99, 0.999};

/** The estimator has markers at and around each quantile; it gives no estimate before every marker has a sample. */
constexpr std::size_t MinSamples = 2 * Quantiles.size() + 3;

std::chrono::nanoseconds toNanoseconds(double nanoseconds)
{
    return std::chrono::nanoseconds(std::llround(nanoseconds));
}

} // namespace

struct LatencyStatistics::Accumulator {
    AccumulatorSet set{acc::tag::extended_p_square::probabilities = Quantiles};
};

LatencyStatistics::LatencyStatistics()
    : current(std::make_unique<Accumulator>())
{
}

LatencyStatistics::~LatencyStatistics() = default;
LatencyStatistics::LatencyStatistics(LatencyStatistics &&other) noexcept = default;
LatencyStatistics &LatencyStatistics::operator=(LatencyStatistics &&other) noexcept = default;

void LatencyStatistics::rotate(BootTime now)
{
    if (now - this->currentStart < Period) {
        return;
    }
    const bool shouldKeepCurrent = now - this->currentStart < 2 * Period && acc::count(this->current->set) > 0;
    this->previous = shouldKeepCurrent ? std::move(this->current) : nullptr;
    this->current = std::make_unique<Accumulator>();
    this->currentStart = now;
}

void LatencyStatistics::add(std::chrono::nanoseconds latency, BootTime now)
{
    this->rotate(now);
    this->current->set(static_cast<double>(latency.count()));
}

LatencySummary LatencyStatistics::summary(BootTime now) const
{
    const bool isStale = now - this->currentStart >= 2 * Period;
    const AccumulatorSet &set = this->previous != nullptr && !isStale ? this->previous->set : this->current->set;
    LatencySummary summary;
    if (isStale || acc::count(set) == 0) {
        return summary;
    }
    summary.count = acc::count(set);
    summary.mean = toNanoseconds(acc::mean(set));
    summary.maximum = toNanoseconds((acc::max)(set));
    if (summary.count < MinSamples) {
        // Too few samples for an estimate: the largest one is an upper bound of every quantile.
        summary.p50 = summary.p99 = summary.p999 = summary.maximum;
        return summary;
    }
    const auto estimates = acc::extended_p_square(set);
    summary.p50 = toNanoseconds(estimates[0]);
    summary.p99 = toNanoseconds(estimates[1]);
    summary.p999 = toNanoseconds(estimates[2]);
    return summary;
}

} // namespace bergamotweir::report
