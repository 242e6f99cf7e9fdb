#include "loop/Log.h"
#include "process/AgentProtocol.h"
#include "process/AgentState.h"
#include "process/LocalUpstream.h"
#include "process/LocalWork.h"

namespace bergamotweir::process {

namespace {

using std::chrono::milliseconds;

/** Without any answer for so long the upstream counts as frozen. */
constexpr milliseconds FrozenAfter{500};
constexpr milliseconds SilentAfter{3000};
/** An upstream with heartbeats that has neither sent one nor answered for so long counts as frozen: two may be late. */
constexpr milliseconds HeartbeatSilence{3500};

constexpr loop::Log Log("upstream");

milliseconds unixTime()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

void LocalUpstream::checkHealth(bool needsNewConnection)
{
    const BootTime now = BootClock::now();
    if (this->present == UpstreamStatus::Crashed) {
        return;
    }
    const bool usesHeartbeats = this->state.protocol->usesHeartbeats;
    if (!usesHeartbeats && (now - this->lastAnnounced > SilentAfter || now - this->lastAnswer > FrozenAfter)) {
        this->setStatus(UpstreamStatus::Frozen);
    }
    if (this->probing) {
        return;
    }
    this->probing = true;
    const table::RoutedService *const routed = this->state.table.routes().service(this->latest.service);
    net::HttpCall call = this->state.protocol->healthCall(
        upstreamAddress(this->latest), routed == nullptr ? "/health" : routed->healthPath, FrozenAfter);
    call.needsNewConnection = needsNewConnection;
    this->client.send(std::move(call), [this](const net::CallResult &result) {
        this->probing = false;
        this->healthAnswered(result);
        this->endLingering();
    });
}

void LocalUpstream::healthAnswered(const net::CallResult &result)
{
    if (result.outcome == net::CallOutcome::Answered) {
        this->lastAnswer = BootClock::now();
        const bool announces = this->lastAnswer - this->lastAnnounced <= SilentAfter;
        if (this->present == UpstreamStatus::Frozen && announces) {
            this->setStatus(UpstreamStatus::Serving);
        }
        return;
    }
    const bool refused = result.outcome == net::CallOutcome::NotSent && result.elapsed < FrozenAfter;
    if (refused) {
        this->processEnded();
    } else if (result.outcome == net::CallOutcome::ConnectionLost && !this->state.protocol->usesHeartbeats) {
        this->checkHealth(true);
    }
}

/**
 * Ends the work whose connections broke, and suspects it.
 * Guard against taking a graceful stop for a crash. A stopping upstream closes its listening socket first and so
 * refuses connections while it finishes its work; were its slices given away at once, two upstreams would run a key.
 * A process that has really ended breaks every connection, so work with an unbroken one keeps the upstream Frozen.
 */
void LocalUpstream::processEnded()
{
    std::set<std::uint64_t> broken;
    std::vector<agent::TicketId> ended;
    for (const auto &[ticket, entry] : this->work) {
        if (entry.broken) {
            broken.insert(entry.request.fingerprint);
            ended.push_back(ticket);
        }
    }
    const bool allEnded = ended.size() == this->work.size();
    if (allEnded) {
        this->callGrants.processEnded();
        this->holdsEnded();
    }
    this->setStatus(allEnded ? UpstreamStatus::Crashed : UpstreamStatus::Frozen);
    const wire::ReportCrash report =
        agent::recordCrash(this->state.crashes, broken, this->latest.incarnation, unixTime());
    for (const agent::TicketId ticket : ended) {
        this->endWork(ticket, agent::WorkOutcome::Lost, false);
    }
    if (!report.suspects().empty()) {
        Log.warn(this->latest.name + ": " + std::to_string(report.suspects_size()) + " requests suspected");
        this->events.crashed(report);
    }
}

/** Work whose connection broke ends once it is known whether the whole process did. */
void LocalUpstream::endLingering()
{
    if (!this->state.protocol->usesHeartbeats) {
        return;
    }
    std::vector<agent::TicketId> ended;
    for (const auto &[ticket, entry] : this->work) {
        if (entry.lingering) {
            ended.push_back(ticket);
        }
    }
    for (const agent::TicketId ticket : ended) {
        this->endWork(ticket, agent::WorkOutcome::Lost, false);
    }
}

bool LocalUpstream::isSilent(BootTime now) const
{
    return this->present == UpstreamStatus::Serving
           && now - std::max(this->lastAnnounced, this->lastAnswer) > HeartbeatSilence;
}

void LocalUpstream::replaced()
{
    std::vector<agent::TicketId> open;
    for (const auto &[ticket, entry] : this->work) {
        if (!entry.lingering) {
            open.push_back(ticket);
        }
    }
    this->callGrants.processEnded();
    this->holdsEnded();
    this->setStatus(UpstreamStatus::Crashed);
    for (const agent::TicketId ticket : open) {
        const auto found = this->work.find(ticket);
        if (found != this->work.end()) {
            this->client.cancel(found->second.call);
            this->answered(
                ticket, {.outcome = net::CallOutcome::ConnectionLost, .mayHaveRun = true, .answer = {}, .elapsed = {}});
        }
    }
    this->endLingering();
}

} // namespace bergamotweir::process
