#include "agent/Gate.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bergamotweir::agent {

namespace {

using std::chrono::nanoseconds;

/** Divisor of a new sample in the smoothed service time: its weight is one eighth. */
constexpr int ServiceTimeDivisor = 8;
/** Time after a request's dispatch deadline at which the gate processes its queue again. */
constexpr std::chrono::microseconds ExpiryMargin{100};

unsigned allowedNow(const Gate &gate)
{
    const unsigned limit = gate.settings.adaptive ? allowedConcurrency(gate.limit) : gate.settings.ceiling;
    return std::min(limit, gate.settings.connections);
}

/** @return whether a connection is available for a request now, idle or new */
bool hasConnection(const Gate &gate, BootTime now)
{
    return gate.idleConnections > 0 || now >= gate.nextConnection;
}

/** Guards against connection storms: a connection costs the upstream a millisecond, so new ones are spaced out. */
void takeConnection(Gate &gate, BootTime now)
{
    if (gate.idleConnections > 0) {
        gate.idleConnections--;
        return;
    }
    gate.nextConnection = now + gate.settings.minConnectionInterval;
}

/** @return the interval between requests to a cold upstream; 0 while it is warm or its maximum rate isn't known */
nanoseconds coldInterval(const Gate &gate, BootTime now)
{
    if (now >= gate.coldUntil || gate.settings.maxColdRate <= 0) {
        return nanoseconds(0);
    }
    const std::chrono::duration<double> interval(1 / gate.settings.maxColdRate);
    return std::chrono::duration_cast<nanoseconds>(interval);
}

bool isPaced(const Gate &gate, BootTime now)
{
    const bool isColdPaced = coldInterval(gate, now).count() > 0 && now < gate.nextColdDispatchAt;
    return isColdPaced || now < nextSendAt(gate.rateLimit, 0);
}

bool canDispatch(const Gate &gate, BootTime now)
{
    return gate.inProgress < allowedNow(gate) && !isPaced(gate, now) && hasConnection(gate, now);
}

void dispatch(Gate &gate, BootTime now)
{
    takeConnection(gate, now);
    const nanoseconds interval = coldInterval(gate, now);
    gate.nextColdDispatchAt = std::max(gate.nextColdDispatchAt + interval, now + interval);
    takeToken(gate.rateLimit, now);
    gate.inProgress++;
}

Admission shedReason(const Gate &gate, bool isRateLimited)
{
    if (isRateLimited) {
        return Admission::RateLimited;
    }
    const bool atTableLimit = gate.settings.ceilingIsTableLimit && gate.inProgress >= gate.settings.ceiling;
    return atTableLimit ? Admission::OverLimit : Admission::Overloaded;
}

/** @return the time that a request arriving now would wait for its dispatch to a cold upstream */
nanoseconds expectedColdWait(const Gate &gate, std::size_t ahead, BootTime now)
{
    const nanoseconds interval = coldInterval(gate, now);
    if (interval.count() == 0) {
        return nanoseconds(0);
    }
    return std::max<nanoseconds>(gate.nextColdDispatchAt - now, nanoseconds(0))
           + interval * static_cast<nanoseconds::rep>(ahead);
}

/** @return the time that a request arriving now would wait because of the upstream's stated rate limit */
nanoseconds expectedRateWait(const Gate &gate, std::size_t ahead, BootTime now)
{
    return std::max<nanoseconds>(nextSendAt(gate.rateLimit, ahead) - now, nanoseconds(0));
}

/** @return when processQueue() will shed a waiting request because of its dispatch deadline */
BootTime expiresAt(const Ticket &waiting)
{
    return waiting.queuePriority.dispatchDeadline == BootTime::max()
               ? BootTime::max()
               : waiting.queuePriority.dispatchDeadline + ExpiryMargin;
}

/** @return whether a request dispatched at @p dispatchedAt is expected to end before its deadline */
bool isInTime(const Gate &gate, BootTime deadline, BootTime dispatchedAt)
{
    return dispatchedAt + gate.serviceTime < deadline;
}

/** @return the number of waiting requests that are served before it */
std::size_t queuePosition(const Gate &gate, const Ticket &ticket)
{
    const auto position =
        std::upper_bound(gate.queue.begin(), gate.queue.end(), ticket, [](const Ticket &one, const Ticket &other) {
            return hasPriorityOver(one.queuePriority, other.queuePriority);
        });
    return static_cast<std::size_t>(position - gate.queue.begin());
}

bool isFull(const Gate &gate)
{
    return gate.queue.size() >= gate.settings.queueLength;
}

} // namespace

const char *toText(Admission admission)
{
    switch (admission) {
    case Admission::Admitted:
        return "admitted";
    case Admission::Queued:
        return "queued";
    case Admission::Overloaded:
        return "no-room";
    case Admission::OverLimit:
        return "over-limit";
    case Admission::RateLimited:
        return "rate-limited";
    case Admission::NotServing:
        break;
    }
    return "not-serving";
}

Gate makeGate(const GateSettings &settings, BootTime now)
{
    Gate gate;
    startCold(gate.limit, now);
    configure(gate, settings);
    return gate;
}

void configure(Gate &gate, const GateSettings &settings)
{
    gate.settings = settings;
    setCeiling(gate.limit, settings.ceiling);
}

void restart(Gate &gate, BootTime now)
{
    startCold(gate.limit, now);
    gate.idleConnections = 0;
    clearStatement(gate.rateLimit);
}

void setCold(Gate &gate, BootTime until)
{
    gate.coldUntil = until;
}

void returnUnsent(Gate &gate, BootTime now)
{
    returnToken(gate.rateLimit, now);
}

Admission previewAdmission(const Gate &gate, const Ticket &ticket, BootTime now)
{
    if (gate.queue.empty() && canDispatch(gate, now)) {
        return Admission::Admitted;
    }
    const std::size_t ahead = queuePosition(gate, ticket);
    const nanoseconds rateWait = expectedRateWait(gate, ahead, now);
    const nanoseconds wait = std::max({expectedWait(gate, ahead), expectedColdWait(gate, ahead, now), rateWait});
    if ((isFull(gate) && ahead == gate.queue.size()) || wait > gate.settings.maxWait
        || now + wait > ticket.queuePriority.dispatchDeadline || !isInTime(gate, ticket.deadline, now + wait)) {
        return shedReason(gate, rateWait.count() > 0 && wait == rateWait);
    }
    return Admission::Queued;
}

Admission requestAdmission(Gate &gate, const Ticket &ticket, BootTime now)
{
    const Admission admission = previewAdmission(gate, ticket, now);
    if (admission == Admission::Admitted) {
        dispatch(gate, now);
    }
    if (admission == Admission::Queued) {
        const bool full = isFull(gate);
        gate.queue.insert(gate.queue.begin() + static_cast<std::ptrdiff_t>(queuePosition(gate, ticket)), ticket);
        if (full) {
            gate.displaced.push_back(gate.queue.back().id);
            gate.queue.pop_back();
        }
    }
    return admission;
}

bool cancelQueued(Gate &gate, TicketId ticket)
{
    const auto found = std::find_if(gate.queue.begin(), gate.queue.end(), [&](const Ticket &waiting) {
        return waiting.id == ticket;
    });
    if (found == gate.queue.end()) {
        return false;
    }
    gate.queue.erase(found);
    return true;
}

void finish(Gate &gate, WorkOutcome outcome, std::chrono::nanoseconds latency, BootTime now)
{
    assert(gate.inProgress > 0);
    const unsigned inProgress = gate.inProgress;
    gate.inProgress--;
    switch (outcome) {
    case WorkOutcome::Answered:
        gate.idleConnections = std::min(gate.idleConnections + 1, gate.settings.connections);
        gate.serviceTime += (latency - gate.serviceTime) / (gate.serviceTime.count() == 0 ? 1 : ServiceTimeDivisor);
        recordAnswer(gate.limit, latency, inProgress, now);
        break;
    case WorkOutcome::Shed:
        gate.idleConnections = std::min(gate.idleConnections + 1, gate.settings.connections);
        recordShed(gate.limit, now);
        break;
    case WorkOutcome::TimedOut:
        recordTimeout(gate.limit, latency, inProgress, now);
        break;
    case WorkOutcome::Lost:
        break;
    }
}

GateDecisions processQueue(Gate &gate, BootTime now)
{
    GateDecisions decisions;
    decisions.shed = std::exchange(gate.displaced, {});
    std::erase_if(gate.queue, [&](const Ticket &waiting) {
        const bool late = now > waiting.queuePriority.dispatchDeadline;
        if (late) {
            decisions.shed.push_back(waiting.id);
        }
        return late;
    });
    while (!gate.queue.empty()) {
        const Ticket &first = gate.queue.front();
        if (!isInTime(gate, first.deadline, now)) {
            decisions.shed.push_back(first.id);
            gate.queue.pop_front();
            continue;
        }
        if (!canDispatch(gate, now)) {
            break;
        }
        dispatch(gate, now);
        decisions.admitted.push_back(first.id);
        gate.queue.pop_front();
    }
    return decisions;
}

std::vector<TicketId> removeAllQueued(Gate &gate)
{
    std::vector<TicketId> all;
    for (const Ticket &waiting : gate.queue) {
        all.push_back(waiting.id);
    }
    gate.queue.clear();
    return all;
}

BootTime nextDispatchAt(const Gate &gate)
{
    if (gate.queue.empty()) {
        return BootTime::max();
    }
    BootTime expiry = gate.displaced.empty() ? BootTime::max() : BootTime();
    for (const Ticket &waiting : gate.queue) {
        // The earliest time at which processQueue() sheds the request.
        expiry = std::min({expiry, waiting.deadline - gate.serviceTime, expiresAt(waiting)});
    }
    if (gate.inProgress >= allowedNow(gate)) {
        return expiry;
    }
    const BootTime connection = gate.idleConnections > 0 ? BootTime() : gate.nextConnection;
    const BootTime coldDispatchAt =
        gate.settings.maxColdRate > 0 ? std::min(gate.nextColdDispatchAt, gate.coldUntil) : BootTime();
    return std::min(expiry, std::max({connection, coldDispatchAt, nextSendAt(gate.rateLimit, 0)}));
}

std::chrono::nanoseconds expectedWait(const Gate &gate, std::size_t ahead)
{
    return gate.serviceTime * static_cast<nanoseconds::rep>(ahead + 1) / allowedNow(gate);
}

double load(const Gate &gate)
{
    return static_cast<double>(gate.inProgress + gate.queue.size()) / allowedNow(gate);
}

} // namespace bergamotweir::agent
