#pragma once

#include "agent/AdaptiveLimit.h"
#include "agent/GateSettings.h"
#include "agent/QueuePriority.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace bergamotweir::agent {

/** Names a request at a gate; the gate's owner chooses it. */
using TicketId = std::uint64_t;

/** A request that waits at a gate. */
struct Ticket {
    TicketId id = 0;
    BootTime deadline;
    QueuePriority queuePriority = {};
};

/** What becomes of a request that arrives at a gate. */
enum class Admission {
    Admitted,
    Queued,
    /** It can't be served in time; it surely did not run. */
    Overloaded,
    /** The same, at the limit of the table. */
    OverLimit,
    /** The upstream takes no work now; said by the gate's owner. */
    NotServing
};

/** @return the admission's name, for logs */
const char *toText(Admission admission);

/** How an admitted request left the upstream. */
enum class WorkOutcome {
    Answered,
    /** The upstream refused it as too much. */
    Shed,
    TimedOut,
    /** Connection lost, cancelled: nothing to be learnt about the latency. */
    Lost
};

/** Requests that the gate let go of. */
struct GateDecisions {
    std::vector<TicketId> admitted;
    /** Too old to be served in time; surely not run. */
    std::vector<TicketId> shed;
};

/**
 * The only way to one upstream: how many requests are in progress, who waits, and when a new connection is due.
 *
 * Guard against overload that feeds itself. It shows when callers give up on queued requests and send them again while
 * the upstream still works on the old ones. The queue is short, a request that can't be served within its deadline is
 * shed at once, and what waited too long is never dispatched.
 * Owned by the agent process, one per upstream beside it.
 */
struct Gate {
    GateSettings settings;
    AdaptiveLimit limit;
    unsigned inProgress = 0;
    /** In the order in which they are served. */
    std::deque<Ticket> queue;
    /** Pushed out of a full queue by more urgent ones; processQueue() tells. */
    std::vector<TicketId> displaced;
    /** Open connections without a request. */
    unsigned idleConnections = 0;
    BootTime nextConnection;
    /** The upstream is cold before this point, as it says itself. */
    BootTime coldUntil;
    /** A cold upstream gets no further request before this point. */
    BootTime nextColdDispatchAt;
    /** Mean time that a request takes, smoothed; 0 when not known. */
    std::chrono::nanoseconds serviceTime{0};
};

/** @return a cold gate */
Gate makeGate(const GateSettings &settings, BootTime now);

/** Follows a changed table or announcement; requests in progress stay. */
void configure(Gate &gate, const GateSettings &settings);

/** A new incarnation of the upstream: cold, without connections. */
void restart(Gate &gate, BootTime now);

/**
 * The upstream says how long it stays cold.
 * Guard against crashing a cold upstream. It shows when one that has just started gets the load of a warm one: its
 * requests take twice as long, and above a rate that it states it ends. Until then requests go out evenly spaced.
 */
void setCold(Gate &gate, BootTime until);

/**
 * A request arrives. It is refused at once when it can't be served in its time, or when the queue is full of requests
 * that go before it; the last one of a full queue makes room for one that goes before it.
 */
Admission requestAdmission(Gate &gate, const Ticket &ticket, BootTime now);

/** @return what requestAdmission() would say, without taking the request in */
Admission previewAdmission(const Gate &gate, const Ticket &ticket, BootTime now);

/** A waiting request is given up. @return false when it wasn't waiting */
bool cancelQueued(Gate &gate, TicketId ticket);

/** An admitted request has surely ended. @param latency since its dispatch */
void finish(Gate &gate, WorkOutcome outcome, std::chrono::nanoseconds latency, BootTime now);

/** Lets waiting requests through; to be called after finish() and at nextDispatchAt(). */
GateDecisions processQueue(Gate &gate, BootTime now);

/** The upstream takes no work now. @return all who waited; surely not run */
std::vector<TicketId> removeAllQueued(Gate &gate);

/** @return when processQueue() may have something to do without a finish(); BootTime::max() when never */
BootTime nextDispatchAt(const Gate &gate);

/** @return the time that a request would wait with so many others ahead of it */
std::chrono::nanoseconds expectedWait(const Gate &gate, std::size_t ahead);

/** @return requests in progress and waiting over those allowed; what answers carry as Upstream-Load */
double load(const Gate &gate);

} // namespace bergamotweir::agent
