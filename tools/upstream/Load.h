#pragma once

#include "base/BootClock.h"

#include <deque>
#include <optional>

namespace bergamotweir::upstream {

/** The load reported by GET /load: the share of slots in use, delayed by the lag, or a fixed false value. */
struct Load {
    struct Sample {
        BootTime at;
        double value = 0;
    };

    std::deque<Sample> samples;
    std::chrono::milliseconds lag{0};
    std::optional<double> falseLoad;
};

/** Records the current load and removes samples that the lag no longer needs. */
inline void recordSample(Load &load, double value, BootTime now)
{
    load.samples.push_back({now, value});
    while (load.samples.size() > 1 && load.samples[1].at + load.lag <= now) {
        load.samples.pop_front();
    }
}

/** @return the load to report at @p now */
inline double reportedLoad(const Load &load, BootTime now)
{
    if (load.falseLoad) {
        return *load.falseLoad;
    }
    double value = 0;
    for (const Load::Sample &sample : load.samples) {
        if (sample.at + load.lag <= now) {
            value = sample.value;
        }
    }
    return value;
}

} // namespace bergamotweir::upstream
