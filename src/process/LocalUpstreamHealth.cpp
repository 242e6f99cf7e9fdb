#include "loop/Log.h"
#include "loop/LogEvent.h"
#include "process/AgentProtocol.h"
#include "process/AgentState.h"
#include "process/HealthCall.h"
#include "process/LocalUpstream.h"
#include "process/LocalWork.h"

#include <cassert>
#include <utility>

namespace bergamotweir::process {

namespace {

using std::chrono::milliseconds;

/** An upstream that has not answered for this long counts as frozen. */
constexpr milliseconds FrozenTimeout{500};
/** Well below a second, within which the end of a process must be noticed. */
constexpr milliseconds SecondProbeDelay{50};
/** An upstream that has not announced itself for this long counts as frozen. */
constexpr milliseconds AnnouncementTimeout{3000};

constexpr loop::Log Log("upstream");

agent::ProbeEnd probeEndOf(const net::CallResult &result)
{
    if (result.outcome == net::CallOutcome::Answered) {
        return agent::ProbeEnd::Answered;
    }
    if (result.isRefused) {
        return agent::ProbeEnd::Refused;
    }
    return result.outcome == net::CallOutcome::NotSent ? agent::ProbeEnd::NotSent : agent::ProbeEnd::Unanswered;
}

milliseconds unixTime()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

void LocalUpstream::checkHealth(bool needsNewConnection, bool isSecondProbe)
{
    const BootTime now = BootClock::now();
    if (this->currentStatus == UpstreamStatus::Crashed) {
        return;
    }
    const bool usesHeartbeats = this->state.protocol->usesHeartbeats;
    if (!usesHeartbeats
        && (now - this->lastAnnouncedAt > AnnouncementTimeout || now - this->lastAnswerAt > FrozenTimeout)) {
        this->setStatus(UpstreamStatus::Frozen);
    }
    if (this->isProbing) {
        return;
    }
    this->isProbing = true;
    net::HttpCall call = healthCallTo(
        this->state, this->latestAnnouncement.service, upstreamAddress(this->latestAnnouncement), FrozenTimeout);
    call.needsNewConnection = needsNewConnection;
    const std::string &incarnation = this->latestAnnouncement.incarnation;
    this->client.send(std::move(call), [this, isSecondProbe, incarnation](const net::CallResult &result) {
        this->isProbing = false;
        if (incarnation != this->latestAnnouncement.incarnation) {
            // The result tells nothing about the process that has started since.
            return;
        }
        this->healthAnswered(result, isSecondProbe);
        if (!this->isSecondProbePending) {
            this->endAbandoned();
        }
    });
}

void LocalUpstream::healthAnswered(const net::CallResult &result, bool isSecondProbe)
{
    if (result.outcome == net::CallOutcome::Answered) {
        this->lastAnswerAt = BootClock::now();
        const bool isAnnounced = this->lastAnswerAt - this->lastAnnouncedAt <= AnnouncementTimeout;
        if (this->currentStatus == UpstreamStatus::Frozen && isAnnounced) {
            this->setStatus(UpstreamStatus::Serving);
        }
        return;
    }
    const agent::ProbeEnd end = probeEndOf(result);
    const std::optional<agent::HoldEnd> holdEnd = agent::holdEndShownByProbe(end, result.elapsed >= FrozenTimeout);
    if (holdEnd) {
        this->processEnded(*holdEnd);
    } else if (result.outcome == net::CallOutcome::NotSent && !isSecondProbe) {
        this->probeAgain();
    } else if (result.outcome == net::CallOutcome::ConnectionLost && !this->state.protocol->usesHeartbeats) {
        this->checkHealth(true);
    }
}

/**
 * Probes once more after a connection that was reset: a process that is full resets connections, and so does the end of
 * one, after which the next connection is refused.
 */
void LocalUpstream::probeAgain()
{
    if (std::exchange(this->isSecondProbePending, true)) {
        return;
    }
    this->loop.after(SecondProbeDelay, [this, alive = this->alive] {
        if (*alive) {
            this->isSecondProbePending = false;
            this->checkHealth(true, true);
        }
    });
}

/**
 * Ends the work whose connections were lost, and marks it suspect of the crash.
 * A graceful stop must not count as a crash: a stopping upstream closes its listening socket first and refuses
 * connections while it finishes its work. If its slices were reassigned at once, two upstreams would run the same key.
 * The end of a process closes every connection, so the upstream stays Frozen while work has an open one.
 */
void LocalUpstream::processEnded(agent::HoldEnd holdEnd)
{
    std::set<std::uint64_t> suspectFingerprints;
    std::vector<agent::TicketId> ended;
    for (const auto &[ticket, entry] : this->work) {
        if (entry.connectionLost) {
            suspectFingerprints.insert(entry.request.fingerprint);
            ended.push_back(ticket);
        }
    }
    const bool allEnded = ended.size() == this->work.size();
    if (allEnded) {
        this->endHold(holdEnd);
    }
    this->setStatus(allEnded ? UpstreamStatus::Crashed : UpstreamStatus::Frozen);
    const wire::ReportCrash report =
        agent::recordCrash(this->state.crashes, suspectFingerprints, this->latestAnnouncement.incarnation, unixTime());
    for (const agent::TicketId ticket : ended) {
        this->endWork(ticket, agent::WorkOutcome::Lost, false);
    }
    if (!report.suspects().empty()) {
        Log.warn(this->latestAnnouncement.name + ": " + std::to_string(report.suspects_size())
                 + " requests suspected of the crash");
        this->events.crashed(report);
    }
}

/** Ends abandoned work: its connection was lost, and the health check has shown whether the process ended. */
void LocalUpstream::endAbandoned()
{
    if (!this->state.protocol->usesHeartbeats) {
        return;
    }
    std::vector<agent::TicketId> ended;
    for (const auto &[ticket, entry] : this->work) {
        if (entry.isAbandoned) {
            ended.push_back(ticket);
        }
    }
    for (const agent::TicketId ticket : ended) {
        this->endWork(ticket, agent::WorkOutcome::Lost, false);
    }
}

bool LocalUpstream::isUnresponsive(BootTime now) const
{
    return this->currentStatus == UpstreamStatus::Serving
           && now - std::max(this->lastAnnouncedAt, this->lastAnswerAt) > this->state.settings.heartbeatTimeout;
}

void LocalUpstream::endHold(agent::HoldEnd reason)
{
    if (this->mayHoldKeys()) {
        Log.event(loop::LogLevel::Info, "hold ended early")
            .with("upstream", this->latestAnnouncement.name)
            .with("reason", agent::toText(reason));
    }
    this->callGrants.processEnded();
    if (reason == agent::HoldEnd::ConnectionRefused) {
        this->state.ownership.servicesEnded.insert(this->latestAnnouncement.service);
    }
    this->forgetHeldKeys();
}

void LocalUpstream::markReplaced(std::optional<agent::HoldEnd> holdEnd)
{
    assert(holdEnd || !this->mayHoldKeys());
    std::vector<agent::TicketId> open;
    for (const auto &[ticket, entry] : this->work) {
        if (!entry.isAbandoned) {
            open.push_back(ticket);
        }
    }
    if (holdEnd) {
        this->endHold(*holdEnd);
    } else {
        this->callGrants.processEnded();
    }
    this->setStatus(UpstreamStatus::Crashed);
    for (const agent::TicketId ticket : open) {
        const auto found = this->work.find(ticket);
        if (found != this->work.end()) {
            this->client.cancel(found->second.call);
            this->answered(
                ticket, {.outcome = net::CallOutcome::ConnectionLost, .mayHaveRun = true, .answer = {}, .elapsed = {}});
        }
    }
    this->endAbandoned();
}

} // namespace bergamotweir::process
