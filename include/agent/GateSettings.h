#pragma once

#include "base/Result.h"

#include <chrono>

namespace bergamotweir::agent {

/** Settings of a Gate; made by GateSettingsBuilder. */
struct GateSettings {
    /** Maximum number of requests in progress: the table's limit, else the number of slots announced by the upstream.
     */
    unsigned ceiling = 1;
    /** Whether the ceiling is the table's limit; a refusal at it is then answered with 429 instead of 503. */
    bool ceilingIsTableLimit = false;
    /** Maximum number of connections to the upstream. */
    unsigned connections = 128;
    /** Minimum time between two new connections: four times the time that a new connection costs the upstream. */
    std::chrono::microseconds minConnectionInterval{4000};
    /** Maximum number of waiting requests. */
    unsigned queueLength = 64;
    /** A request whose expected wait is longer is refused. */
    std::chrono::milliseconds maxWait{250};
    /** Maximum number of requests per second that the upstream supports while it is cold; 0 when unknown. */
    double maxColdRate = 0;
    /** False keeps the limit at the ceiling: for upstreams whose number of slots is known, and as a baseline. */
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

    /** @return the settings, or all errors found in them */
    Result<GateSettings> build() const;

private:
    GateSettings settings;
};

} // namespace bergamotweir::agent
