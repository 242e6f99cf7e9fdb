#pragma once

#include "base/BootClock.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace bergamotweir::report {

/** Latency of the answers of one service; estimates, see LatencyStatistics. */
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
 * samples are kept. It can't forget, hence one accumulator is filled for each period and the last whole one is told.
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

    /** @return the last whole period, or the present one while there is none */
    LatencySummary summary(BootTime now) const;

private:
    struct Accumulator;

    void turn(BootTime now);

    std::unique_ptr<Accumulator> present;
    std::unique_ptr<Accumulator> last;
    BootTime presentStart{};
};

} // namespace bergamotweir::report
