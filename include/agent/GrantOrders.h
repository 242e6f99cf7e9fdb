#pragma once

#include "agent/Ownership.h"
#include "base/BootClock.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace bergamotweir::agent {

/** Identifies an order to an upstream; unique within one GrantOrders. */
using OrderId = std::uint64_t;

/** What an order asks of the upstream. */
enum class OrderKind { Grant, Release };

/** One order to an upstream that receives its grants by calls. */
struct GrantOrder {
    OrderId id = 0;
    OrderKind kind = OrderKind::Grant;
    HeldRange range;
    /** Duration of a grant, counted from its arrival at the upstream. */
    std::chrono::milliseconds holdFor{0};
    /** Handover data that the previous owner released with the keys of a grant. */
    std::string handover;
    BootTime sentAt;
};

/** How an order ended. */
enum class OrderOutcome {
    /** The upstream has executed the order. */
    Done,
    /** The upstream knows a higher epoch for one of the keys. */
    Outdated,
    /** The upstream has definitely not received the order: another process listens on its port, or none. */
    NotReceived,
    /** There was no answer: the order may have been executed, or may be executed later. */
    Unknown
};

/** Keys that the upstream should hold. */
struct WantedKeys {
    HeldRange range;
    std::string handover;
};

/** A range that an upstream holds, or may hold, by the grants that were sent to it. */
struct KeyHold {
    HeldRange range;
    /** The upstream holds the range at least until this point, by grants that it confirmed. */
    BootTime confirmedUntil;
    /** All grants, answered or not, have expired at this point. */
    BootTime possiblyHeldUntil;
    /** All unanswered grants have expired at this point; before it one of them may be executed after a release. */
    BootTime unansweredUntil;
    /** No further order is sent before this point. */
    BootTime nextOrderAt;
    /** A release was answered: the remaining hold ends when it expires, and a further release would have no effect. */
    bool released = false;
};

/** Durations and time-outs of grants and releases. */
struct GrantTimes {
    /** Duration of a grant. It is short, so that a grant executed seconds late has already expired. */
    std::chrono::milliseconds grantDuration{1800};
    /** Grants shorter than this are not sent. */
    std::chrono::milliseconds minGrantDuration{200};
    /** A grant with less than this remaining is renewed. */
    std::chrono::milliseconds renewThreshold{1100};
    /** Time-out of a grant without an answer. */
    std::chrono::milliseconds grantTimeout{300};
    /** Time-out of a release, which is answered when the work in progress on its keys has ended. */
    std::chrono::milliseconds releaseTimeout{700};
    /** Delay before the next order after one that failed. */
    std::chrono::milliseconds retryDelay{100};
    /** Fraction by which the upstream's clock may run slow, which makes it hold a grant longer. */
    double maxClockSlowdown = 0.02;
};

/**
 * Grants and releases of one upstream that receives its grants by calls. Plain data, changed only by the functions
 * below.
 *
 * Guards against two holders of one key: a grant whose answer was lost could be executed seconds later, after its keys
 * were released and given to another upstream. A grant is counted from the latest time at which it can have arrived and
 * never outlasts the agent's lease. The keys of an unanswered grant count as possibly held until it has expired, even
 * if a release is answered in the meantime.
 * Owned by the LocalUpstream.
 */
struct GrantOrders {
    GrantTimes times;
    std::vector<KeyHold> holds;
    /** Orders that were sent and have no outcome yet. */
    std::vector<GrantOrder> open;
    /** Refused as outdated; such a range is not granted again under the same or an older epoch. */
    std::vector<HeldRange> outdated;
    OrderId lastId = 0;
};

/**
 * Decides which orders are due now and records them as sent.
 * @param wanted ranges that the upstream should hold
 * @param unwanted ranges that it should release, with the epoch under which they were granted
 * @param leaseUntil end of the agent's lease, which no grant may outlast
 * @return orders to send immediately; recordOrderOutcome() must be called exactly once for each
 */
std::vector<GrantOrder> takeDueOrders(GrantOrders &orders,
                                      const std::vector<WantedKeys> &wanted,
                                      const std::vector<HeldRange> &unwanted,
                                      BootTime leaseUntil,
                                      BootTime now);

/** Records how an order ended; an unknown id is ignored. */
void recordOrderOutcome(GrantOrders &orders, OrderId id, OrderOutcome outcome, BootTime now);

/** Records that the upstream doesn't hold a granted key: its range is granted again before it is served. */
void recordKeyNotHeld(GrantOrders &orders, std::uint64_t hash);

/** Removes expired holds. @return the ranges that the upstream may hold now; confirmed where it definitely does */
std::vector<HeldRange> currentlyHeld(GrantOrders &orders, BootTime now);

/**
 * @return the next time after @p now at which the result of takeDueOrders() or currentlyHeld() may change;
 * BootTime::max() when never
 */
BootTime nextCheckAt(const GrantOrders &orders, BootTime now);

/** Clears holds and orders after the upstream's process has definitely ended and can receive no further order. */
void forgetAll(GrantOrders &orders);

} // namespace bergamotweir::agent
