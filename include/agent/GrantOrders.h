#pragma once

#include "agent/Ownership.h"
#include "base/BootClock.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace bergamotweir::agent {

/** Names an order to an upstream, unique for one GrantOrders. */
using OrderId = std::uint64_t;

/** What an order asks of the upstream. */
enum class OrderKind { Grant, Release };

/** One order to an upstream that gets its keys by calls. */
struct GrantOrder {
    OrderId id = 0;
    OrderKind kind = OrderKind::Grant;
    HeldRange range;
    /** How long a grant holds, counted from its arrival at the upstream. */
    std::chrono::milliseconds holdFor{0};
    /** What the owner before gave out with the keys of a grant. */
    std::string handover;
    BootTime sentAt;
};

/** What became of an order. */
enum class OrderOutcome {
    /** The upstream has carried it out. */
    Done,
    /** The upstream knows a higher epoch for one of the keys. */
    Outdated,
    /** The upstream surely didn't take it: another process listens there, or none. */
    NotReceived,
    /** No answer: it may have been carried out, or may be later. */
    Unknown
};

/** Keys that the upstream is to hold. */
struct WantedKeys {
    HeldRange range;
    std::string handover;
};

/** What one upstream may hold by the grants that were sent to it. */
struct KeyHold {
    HeldRange range;
    /** Grants that were answered run out here or later. */
    BootTime confirmedUntil;
    /** All grants, answered or not, have run out here. */
    BootTime possiblyHeldUntil;
    /** Grants without an answer have run out here: until then one of them may be carried out after a release. */
    BootTime unansweredUntil;
    /** Not ordered again before this point. */
    BootTime nextOrderAt;
    /** A release was answered: what is left ends by its time, and asking again changes nothing. */
    bool released = false;
};

/** Times of grants and releases. */
struct GrantTimes {
    /** Length of a grant. Short, so that one carried out seconds late has nothing left of its time. */
    std::chrono::milliseconds grantDuration{1800};
    /** Shorter grants are not worth a call. */
    std::chrono::milliseconds minGrantDuration{200};
    /** A grant with less than this left is renewed. */
    std::chrono::milliseconds renewThreshold{1100};
    /** A grant without an answer is given up after this time. */
    std::chrono::milliseconds grantTimeout{300};
    /** The same for a release, which is answered when the work that runs on its keys has ended. */
    std::chrono::milliseconds releaseTimeout{700};
    /** Pause after an order that failed. */
    std::chrono::milliseconds retryAfter{100};
    /** Part by which the upstream's clock may run slow, and so hold longer. */
    double maxClockSlowdown = 0.02;
};

/**
 * Grants and releases to one upstream that gets its keys by calls, as plain data; the functions below alone change it.
 *
 * Guard against two holders of one key. It shows when a grant whose answer was lost is carried out seconds later, after
 * its keys were released and given to another upstream. A grant is counted from the latest moment at which it can have
 * arrived, never outlasts the agent's lease, and one without an answer keeps its keys taken until its time is over,
 * whatever a release answers meanwhile.
 * Owned by the LocalUpstream.
 */
struct GrantOrders {
    GrantTimes times;
    std::vector<KeyHold> holds;
    /** Sent and not ended. */
    std::vector<GrantOrder> open;
    /** Refused as outdated; under such an epoch a range is never ordered again. */
    std::vector<HeldRange> outdated;
    OrderId lastId = 0;
};

/**
 * Decides what to order now, and notes it as sent.
 * @param wanted what the upstream is to hold
 * @param unwanted what it is to give up, by the epoch under which it was granted
 * @param leaseUntil no grant may hold beyond this point
 * @return orders to be sent at once, each ended by recordOrderOutcome() exactly once
 */
std::vector<GrantOrder> takeDueOrders(GrantOrders &orders,
                                      const std::vector<WantedKeys> &wanted,
                                      const std::vector<HeldRange> &unwanted,
                                      BootTime leaseUntil,
                                      BootTime now);

/** Notes what became of an order; another's id is ignored. */
void recordOrderOutcome(GrantOrders &orders, OrderId id, OrderOutcome outcome, BootTime now);

/** The upstream said that it doesn't hold a key that was granted: its range is ordered again before it is served. */
void recordKeyNotHeld(GrantOrders &orders, std::uint64_t hash);

/** Forgets what has run out. @return what the upstream may hold now, and which of it for sure */
std::vector<HeldRange> currentlyHeld(GrantOrders &orders, BootTime now);

/** @return when, after now, takeDueOrders() or currentlyHeld() may have something new to say; BootTime::max() when
 * never */
BootTime nextCheckAt(const GrantOrders &orders, BootTime now);

/** The upstream's process has surely ended: it holds nothing, and no order reaches it any more. */
void forgetAll(GrantOrders &orders);

} // namespace bergamotweir::agent
