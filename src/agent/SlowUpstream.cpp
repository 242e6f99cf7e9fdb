#include "agent/SlowUpstream.h"

#include <algorithm>

namespace bergamotweir::agent {

namespace {

/** Maximum number of answers that the mean is based on, so that it follows changes. */
constexpr double MaxAnswers = 100;
/** Number of answers of average speed that an upstream is assumed to have given before its first one. */
constexpr double AssumedAnswers = 10;
/** Expected work time, as a multiple of the service's mean, above which another upstream is asked. */
constexpr double SlowRatio = 1.2;
/** Minimum headroom: a diverted share of the requests must not make the other upstreams busy. */
constexpr double MinHeadroom = 1.3;
constexpr std::chrono::seconds MaxReportAge{5};

} // namespace

void recordWork(WorkTime &time, std::chrono::nanoseconds worked)
{
    time.answers = std::min(time.answers + 1, MaxAnswers);
    time.mean += (std::chrono::duration<double>(worked) - time.mean) / time.answers;
}

bool isSlowNow(const WorkTime &own, double slowness, const ServiceWork &service, BootTime now)
{
    if (service.headroom < MinHeadroom || service.mean.count() <= 0 || now - service.receivedAt > MaxReportAge) {
        return false;
    }
    const std::chrono::duration<double> expected =
        (own.mean * own.answers + service.mean * AssumedAnswers) / (own.answers + AssumedAnswers);
    return expected * slowness > service.mean * SlowRatio;
}

} // namespace bergamotweir::agent
