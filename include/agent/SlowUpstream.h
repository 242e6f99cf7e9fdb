#pragma once

#include "base/BootClock.h"

#include <chrono>

namespace bergamotweir::agent {

/** Mean time that one upstream works on a request, from its answers. */
struct WorkTime {
    std::chrono::duration<double> mean{0};
    /** Answers that the mean is based on, up to a maximum. */
    double answers = 0;
};

/** What control reports of a service as a whole. */
struct ServiceWork {
    /** Mean over the service's upstreams of the time that each works on a request. */
    std::chrono::duration<double> mean{0};
    /** Load at which the upstreams would be busy, as a multiple of their load. */
    double headroom = 1;
    BootTime receivedAt = {};
};

/** Adds the time that the upstream worked on one request. */
void recordWork(WorkTime &time, std::chrono::nanoseconds worked);

/**
 * Decides whether a request that any upstream of the service can run is better sent to another one.
 *
 * Guards against late answers in a service with many upstreams and few requests to each: the agents that choose know
 * neither the speed of most upstreams nor how slow their VMs are at the moment, while the agent beside an upstream
 * does. Only for services whose upstreams aren't busy; otherwise each upstream has to take its share.
 * @param own the upstream's work time
 * @param slowness how long work takes on the upstream's VM at the moment; 1 is as usual or not known
 * @param service control's last report
 */
bool isSlowNow(const WorkTime &own, double slowness, const ServiceWork &service, BootTime now);

} // namespace bergamotweir::agent
