#pragma once

#include "agent/AdaptiveLimit.h"
#include "agent/GateSettings.h"
#include "agent/QueuePriority.h"
#include "agent/StatedRateLimit.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace bergamotweir::agent {

/** Identifies a request at a gate; chosen by the gate's owner. */
using TicketId = std::uint64_t;

/** A request that waits at a gate. */
struct Ticket {
    TicketId id = 0;
    BootTime deadline;
    QueuePriority queuePriority = {};
};

/** Decision on a request that arrives at a gate. */
enum class Admission {
    Admitted,
    Queued,
    /** The request can't be served in time; it has definitely not run. */
    Overloaded,
    /** As Overloaded, while the limit set in the table is reached. */
    OverLimit,
    /** As Overloaded, because of the rate limit that the upstream states. */
    RateLimited,
    /** The upstream accepts no requests at present; set by the gate's owner. */
    NotServing
};

/** @return the admission's name, for logs */
const char *toText(Admission admission);

/** How an admitted request left the upstream. */
enum class WorkOutcome {
    Answered,
    /** The upstream refused the request because of its load. */
    Shed,
    TimedOut,
    /** The connection was lost or the request cancelled; not a latency sample. */
    Lost
};

/** Decisions on waiting requests. */
struct GateDecisions {
    std::vector<TicketId> admitted;
    /** Can't be served in time any more; they have definitely not run. */
    std::vector<TicketId> shed;
};

/**
 * Admission control for one upstream, which all requests to it pass: counts the requests in progress, queues requests,
 * and spaces out new connections.
 *
 * Guards against congestion collapse, where callers give up on queued requests and send them again while the upstream
 * still works on the old ones. The queue is short, a request that can't be served within its deadline is shed at once,
 * and a request that waited too long is never dispatched.
 * Owned by the agent process, one per local upstream.
 */
struct Gate {
    GateSettings settings;
    AdaptiveLimit limit;
    unsigned inProgress = 0;
    /** Waiting requests in the order in which they will be served. */
    std::deque<Ticket> queue;
    /** Removed from a full queue in favour of requests with priority; processQueue() returns them as shed. */
    std::vector<TicketId> displaced;
    /** Open connections without a request. */
    unsigned idleConnections = 0;
    BootTime nextConnection;
    /** The upstream has announced that it is cold until this point. */
    BootTime coldUntil;
    /** No further request is dispatched to a cold upstream before this point. */
    BootTime nextColdDispatchAt;
    StatedRateLimit rateLimit;
    /** Smoothed mean time that the upstream works on a request; 0 when not known. */
    std::chrono::nanoseconds serviceTime{0};
};

/** @return a gate whose limit starts at one request */
Gate makeGate(const GateSettings &settings, BootTime now);

/** Applies a changed table or announcement; requests in progress are not affected. */
void configure(Gate &gate, const GateSettings &settings);

/** Resets the gate for a new incarnation of the upstream, which is cold, has no connections and states no limit. */
void restart(Gate &gate, BootTime now);

/**
 * Sets until when the upstream is cold, as announced by it.
 * Guards against crashing an upstream that has just started by giving it the load of a warm one: its requests take
 * twice as long, and it exits above a rate that it announces. Until @p until requests are dispatched evenly spaced.
 */
void setCold(Gate &gate, BootTime until);

/** Records that a request was admitted but will not be sent, before finish() ends it. */
void returnUnsent(Gate &gate, BootTime now);

/**
 * Decides about an arriving request. It is refused at once when it can't be served in time, or when the queue is full
 * of requests that have priority over it. A request with priority displaces the last one of a full queue.
 */
Admission requestAdmission(Gate &gate, const Ticket &ticket, BootTime now);

/** @return what requestAdmission() would return, without admitting or queueing the request */
Admission previewAdmission(const Gate &gate, const Ticket &ticket, BootTime now);

/** Removes a waiting request from the queue. @return false when it wasn't waiting */
bool cancelQueued(Gate &gate, TicketId ticket);

/** Records that an admitted request has definitely ended. @param latency since its dispatch */
void finish(Gate &gate, WorkOutcome outcome, std::chrono::nanoseconds latency, BootTime now);

/** Admits or sheds waiting requests; must be called after finish() and at nextDispatchAt(). */
GateDecisions processQueue(Gate &gate, BootTime now);

/** Empties the queue of an upstream that accepts no requests. @return all that waited; they have definitely not run */
std::vector<TicketId> removeAllQueued(Gate &gate);

/** @return when processQueue() must be called next if finish() isn't called before; BootTime::max() when never */
BootTime nextDispatchAt(const Gate &gate);

/** @return the expected wait of a request with @p ahead requests queued before it */
std::chrono::nanoseconds expectedWait(const Gate &gate, std::size_t ahead);

/** @return requests in progress and waiting, divided by the limit; sent with answers as Upstream-Load */
double load(const Gate &gate);

} // namespace bergamotweir::agent
