#pragma once

#include "base/Result.h"

#include <chrono>

namespace bergamotweir::agent {

/** How a Gate behaves; made by GateSettingsBuilder. */
struct GateSettings {
    /** Most requests in progress; what the table says, else the slots that the upstream announced. */
    unsigned ceiling = 1;
    /** Whether the ceiling is the table's limit, so that a refusal at it is 429 and not 503. */
    bool ceilingIsTableLimit = false;
    /** Most connections to the upstream. */
    unsigned connections = 128;
    /** Least time between two new connections: four times what one costs the upstream. */
    std::chrono::microseconds minConnectionInterval{4000};
    /** Most requests that wait. */
    unsigned queueLength = 64;
    /** Longest wait that is worth more than a refusal. */
    std::chrono::milliseconds maxWait{250};
    /** Requests a second that the upstream bears while it is cold; 0 where nothing is known. */
    double maxColdRate = 0;
    /** False keeps the limit at the ceiling: for upstreams whose slots are known, and as a baseline. */
    bool adaptive = true;

    bool operator==(const GateSettings &other) const = default;
};

/** Collects and checks the settings of a Gate. */
class GateSettingsBuilder
{
public:
    GateSettingsBuilder &ceiling(unsigned value);
    GateSettingsBuilder &ceilingIsTableLimit(bool value);
    GateSettingsBuilder &connections(unsigned value);
    GateSettingsBuilder &minConnectionInterval(std::chrono::microseconds value);
    GateSettingsBuilder &queueLength(unsigned value);
    GateSettingsBuilder &maxWait(std::chrono::milliseconds value);
    GateSettingsBuilder &maxColdRate(double value);
    GateSettingsBuilder &adaptive(bool value);

    /** @return the settings, or everything that is wrong with them */
    Result<GateSettings> build() const;

private:
    GateSettings settings;
};

} // namespace bergamotweir::agent
