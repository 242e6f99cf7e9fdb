#pragma once

#include "base/BootClock.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace bergamotweir::report {

/** Latency of the answers of one service; the quantiles are estimates, see LatencyStatistics. */
struct LatencySummary {
    std::uint64_t count = 0;
    std::chrono::nanoseconds mean{0};
    std::chrono::nanoseconds p50{0};
    std::chrono::nanoseconds p99{0};
    std::chrono::nanoseconds p999{0};
    std::chrono::nanoseconds maximum{0};
};

/**
 * Quantiles of latency over the last few minutes, by Boost.Accumulators' P-square estimator: constant memory, no
 * samples are kept. The estimator can't remove old samples, so each period fills an accumulator of its own and the last
 * complete one is reported.
 */
class LatencyStatistics
{
public:
    static constexpr std::chrono::minutes Period{5};

    LatencyStatistics();
    ~LatencyStatistics();
    LatencyStatistics(LatencyStatistics &&other) noexcept;
    LatencyStatistics &operator=(LatencyStatistics &&other) noexcept;

    void add(std::chrono::nanoseconds latency, BootTime now);

    /** @return the last complete period, or the current one while there is none */
    LatencySummary summary(BootTime now) const;

private:
    struct Accumulator;

    /** Starts a new period when the current one has ended. */
    void rotate(BootTime now);

    std::unique_ptr<Accumulator> current;
    std::unique_ptr<Accumulator> previous;
    BootTime currentStart{};
};

} // namespace bergamotweir::report
