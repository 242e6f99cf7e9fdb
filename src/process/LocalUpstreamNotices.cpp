#include "loop/Log.h"
#include "process/AgentProtocol.h"
#include "process/AgentState.h"
#include "process/LocalUpstream.h"

#include <cmath>

namespace bergamotweir::process {

namespace {

using std::chrono::milliseconds;

/** Minimum time between two reports of a rate limit; each is a change of the replicated state. */
constexpr milliseconds RateLimitReportInterval{1000};
/** Relative change of a rate limit that is reported. */
constexpr double ReportedRateChange = 0.2;

constexpr loop::Log Log("upstream");

} // namespace

void LocalUpstream::readNotice(const net::HttpAnswer &answer, BootTime sentAt)
{
    const UpstreamNotice notice = this->state.protocol->readNotice(answer);
    // A limit that can't be read neither changes nor ends the one in force.
    if (!notice.hasMalformedLimit) {
        agent::recordStatement(this->gate.rateLimit, notice.rateLimit, sentAt, BootClock::now());
        this->reportRateLimit(BootClock::now());
    }
    if (notice.isLeaving && this->recordLeaving("answer", BootClock::now())) {
        this->events.changed();
    }
    if (notice == this->latestNotice) {
        return;
    }
    loop::LogEvent event = Log.event(loop::LogLevel::Info, "upstream notice", loop::RoutineBound);
    event.with("upstream", this->latestAnnouncement.name)
        .with("leaving", notice.isLeaving)
        .with("malformed_limit", notice.hasMalformedLimit)
        .with("sent", this->sentCount)
        .with("in_progress", this->gate.inProgress);
    if (notice.rateLimit) {
        event.with("rate_limit", *notice.rateLimit);
    }
    this->latestNotice = notice;
}

void LocalUpstream::restoreNotice()
{
    const wire::UpstreamInfo *const known = agent::findUpstream(this->state.map, this->id());
    if (known == nullptr || known->incarnation() != this->latestAnnouncement.incarnation) {
        return;
    }
    const BootTime now = BootClock::now();
    if (!this->reportedRateLimit) {
        this->reportedRateLimit = known->rate_limit();
        if (known->rate_limit() > 0) {
            agent::recordStatement(this->gate.rateLimit, known->rate_limit(), now, now);
        }
    }
    // Nothing tells when the upstream stated that it is leaving, so it gets no more requests at all.
    if (known->leaving() && this->recordLeaving("control", now - agent::LeavingServeTime)) {
        this->events.changed();
    }
}

void LocalUpstream::reportRateLimit(BootTime now)
{
    const double limit = this->gate.rateLimit.perSecond.value_or(0);
    const double reported = this->reportedRateLimit.value_or(0);
    const bool differs = !this->reportedRateLimit || (limit == 0) != (reported == 0)
                         || std::abs(limit - reported) > ReportedRateChange * reported;
    if (!differs || now - this->rateLimitReportedAt < RateLimitReportInterval) {
        return;
    }
    this->reportedRateLimit = limit;
    this->rateLimitReportedAt = now;
    this->events.changed();
}

bool LocalUpstream::recordLeaving(const char *source, BootTime now)
{
    if (this->isLeaving()) {
        return false;
    }
    this->leavingSince = now;
    Log.event(loop::LogLevel::Info, "upstream is leaving")
        .with("upstream", this->latestAnnouncement.name)
        .with("stated_in", source);
    return true;
}

bool LocalUpstream::isRateLimitedNow() const
{
    return agent::nextSendAt(this->gate.rateLimit, this->gate.queue.size()) > BootClock::now();
}

void LocalUpstream::forgetNotice()
{
    this->latestNotice = {};
    this->reportedRateLimit = 0;
    this->leavingSince = BootTime();
}

std::optional<double> LocalUpstream::rateLimit() const
{
    return this->gate.rateLimit.perSecond;
}

bool LocalUpstream::isLeaving() const
{
    return this->leavingSince != BootTime();
}

} // namespace bergamotweir::process
