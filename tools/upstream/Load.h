#pragma once

#include "base/BootClock.h"

#include <deque>
#include <optional>

namespace bergamotweir::upstream {

/** What GET /load says: the share of slots in use, as it was a while ago, or a lie. */
struct Load {
    struct Sample {
        BootTime at;
        double value = 0;
    };

    std::deque<Sample> samples;
    std::chrono::milliseconds lag{0};
    std::optional<double> lie;
};

/** Notes the present load; keeps no more than the lag needs. */
inline void note(Load &load, double value, BootTime now)
{
    load.samples.push_back({now, value});
    while (load.samples.size() > 1 && load.samples[1].at + load.lag <= now) {
        load.samples.pop_front();
    }
}

/** @return the load to be reported at @p now */
inline double reported(const Load &load, BootTime now)
{
    if (load.lie) {
        return *load.lie;
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
