#include "agent/GrantOrders.h"

#include <algorithm>

namespace bergamotweir::agent {

namespace {

using std::chrono::milliseconds;

milliseconds scaled(milliseconds time, double factor)
{
    return milliseconds(static_cast<milliseconds::rep>(static_cast<double>(time.count()) * factor));
}

bool overlap(const HeldRange &one, const HeldRange &other)
{
    return one.first <= other.last && other.first <= one.last;
}

bool isSame(const HeldRange &one, const HeldRange &other)
{
    return one.first == other.first && one.last == other.last && one.epoch == other.epoch;
}

bool contains(const HeldRange &outer, const HeldRange &inner)
{
    return outer.first <= inner.first && inner.last <= outer.last && outer.epoch == inner.epoch;
}

/** @return whether an order for any of the range's keys is in flight */
bool isBusy(const GrantOrders &orders, const HeldRange &range)
{
    return std::any_of(orders.open.begin(), orders.open.end(), [&](const GrantOrder &order) {
        return overlap(order.range, range);
    });
}

bool isOutdated(const GrantOrders &orders, const HeldRange &range)
{
    return std::any_of(orders.outdated.begin(), orders.outdated.end(), [&](const HeldRange &refused) {
        return overlap(refused, range) && range.epoch <= refused.epoch;
    });
}

KeyHold *holdOf(GrantOrders &orders, const HeldRange &range)
{
    const auto found = std::find_if(orders.holds.begin(), orders.holds.end(), [&](const KeyHold &hold) {
        return isSame(hold.range, range);
    });
    return found == orders.holds.end() ? nullptr : &*found;
}

/** @return until when the whole range is confirmed as held, by a grant of this range or of a wider one */
BootTime confirmedHeldUntil(const GrantOrders &orders, const HeldRange &range)
{
    BootTime until;
    for (const KeyHold &hold : orders.holds) {
        if (contains(hold.range, range)) {
            until = std::max(until, hold.confirmedUntil);
        }
    }
    return until;
}

/** @return the duration of a grant sent now, limited by the lease; 0 when it would be below the minimum */
milliseconds grantDurationWithin(const GrantTimes &times, BootTime leaseUntil, BootTime now)
{
    const auto remaining = std::chrono::duration_cast<milliseconds>(leaseUntil - now) - times.grantTimeout;
    const milliseconds hold = std::min(times.grantDuration, scaled(remaining, 1 / (1 + times.maxClockSlowdown)));
    return hold < times.minGrantDuration ? milliseconds(0) : hold;
}

void addOrder(GrantOrders &orders, GrantOrder order, std::vector<GrantOrder> &due)
{
    order.id = ++orders.lastId;
    orders.open.push_back(order);
    due.push_back(std::move(order));
}

void addGrantIfDue(
    GrantOrders &orders, const WantedKeys &wanted, milliseconds holdFor, BootTime now, std::vector<GrantOrder> &due)
{
    KeyHold *hold = holdOf(orders, wanted.range);
    const bool isEarly = hold != nullptr && now < hold->nextOrderAt;
    const bool isConfirmed = confirmedHeldUntil(orders, wanted.range) - now > orders.times.renewThreshold;
    if (isEarly || isConfirmed || isBusy(orders, wanted.range) || isOutdated(orders, wanted.range)) {
        return;
    }
    if (hold == nullptr) {
        orders.holds.emplace_back().range = wanted.range;
        hold = &orders.holds.back();
    }
    const BootTime latestEnd = now + orders.times.grantTimeout + scaled(holdFor, 1 + orders.times.maxClockSlowdown);
    hold->possiblyHeldUntil = std::max(hold->possiblyHeldUntil, latestEnd);
    GrantOrder order;
    order.kind = OrderKind::Grant;
    order.range = wanted.range;
    order.holdFor = holdFor;
    order.handover = wanted.handover;
    order.sentAt = now;
    addOrder(orders, std::move(order), due);
}

void addReleaseIfDue(GrantOrders &orders, const HeldRange &unwanted, BootTime now, std::vector<GrantOrder> &due)
{
    bool held = false;
    for (const KeyHold &hold : orders.holds) {
        const bool ofRange = overlap(hold.range, unwanted) && hold.range.epoch <= unwanted.epoch;
        held = held || (ofRange && now >= hold.nextOrderAt && !hold.released);
    }
    if (held && !isBusy(orders, unwanted)) {
        GrantOrder order;
        order.kind = OrderKind::Release;
        order.range = unwanted;
        order.sentAt = now;
        addOrder(orders, std::move(order), due);
    }
}

void recordGrantOutcome(GrantOrders &orders, const GrantOrder &order, OrderOutcome outcome, BootTime now)
{
    KeyHold *hold = holdOf(orders, order.range);
    if (outcome == OrderOutcome::Outdated) {
        orders.outdated.push_back(order.range);
    }
    if (hold == nullptr) {
        return;
    }
    if (outcome == OrderOutcome::Done) {
        hold->confirmedUntil = order.sentAt + order.holdFor;
        return;
    }
    hold->nextOrderAt = now + orders.times.retryDelay;
    if (outcome == OrderOutcome::Unknown) {
        const milliseconds maxHoldTime = scaled(order.holdFor, 1 + orders.times.maxClockSlowdown);
        hold->unansweredUntil = std::max(hold->unansweredUntil, order.sentAt + orders.times.grantTimeout + maxHoldTime);
    }
}

/**
 * Removes the range of an answered release from a hold, and adds the parts of the hold that remain to @p remaining.
 * The released part stays possibly held until all unanswered grants have expired.
 */
void removeReleased(const KeyHold &hold, const HeldRange &releasedRange, std::vector<KeyHold> &remaining)
{
    if (!overlap(hold.range, releasedRange) || hold.range.epoch > releasedRange.epoch) {
        remaining.push_back(hold);
        return;
    }
    if (hold.range.first < releasedRange.first) {
        KeyHold before = hold;
        before.range.last = releasedRange.first - 1;
        remaining.push_back(before);
    }
    if (releasedRange.last < hold.range.last) {
        KeyHold after = hold;
        after.range.first = releasedRange.last + 1;
        remaining.push_back(after);
    }
    KeyHold within = hold;
    within.range.first = std::max(hold.range.first, releasedRange.first);
    within.range.last = std::min(hold.range.last, releasedRange.last);
    within.confirmedUntil = {};
    within.released = true;
    within.possiblyHeldUntil = hold.unansweredUntil;
    remaining.push_back(within);
}

void recordReleaseOutcome(GrantOrders &orders, const GrantOrder &order, OrderOutcome outcome, BootTime now)
{
    if (outcome != OrderOutcome::Done) {
        for (KeyHold &hold : orders.holds) {
            if (overlap(hold.range, order.range)) {
                hold.nextOrderAt = now + orders.times.retryDelay;
            }
        }
        return;
    }
    std::vector<KeyHold> remaining;
    for (const KeyHold &hold : orders.holds) {
        removeReleased(hold, order.range, remaining);
    }
    orders.holds = std::move(remaining);
}

} // namespace

std::vector<GrantOrder> takeDueOrders(GrantOrders &orders,
                                      const std::vector<WantedKeys> &wanted,
                                      const std::vector<HeldRange> &unwanted,
                                      BootTime leaseUntil,
                                      BootTime now)
{
    std::vector<GrantOrder> due;
    for (const HeldRange &range : unwanted) {
        addReleaseIfDue(orders, range, now, due);
    }
    const milliseconds holdFor = grantDurationWithin(orders.times, leaseUntil, now);
    if (holdFor.count() == 0) {
        return due;
    }
    for (const WantedKeys &keys : wanted) {
        addGrantIfDue(orders, keys, holdFor, now, due);
    }
    return due;
}

void recordOrderOutcome(GrantOrders &orders, OrderId id, OrderOutcome outcome, BootTime now)
{
    const auto found = std::find_if(orders.open.begin(), orders.open.end(), [&](const GrantOrder &order) {
        return order.id == id;
    });
    if (found == orders.open.end()) {
        return;
    }
    const GrantOrder order = *found;
    orders.open.erase(found);
    if (order.kind == OrderKind::Grant) {
        recordGrantOutcome(orders, order, outcome, now);
    } else {
        recordReleaseOutcome(orders, order, outcome, now);
    }
}

void recordKeyNotHeld(GrantOrders &orders, std::uint64_t hash)
{
    for (KeyHold &hold : orders.holds) {
        if (hold.range.first <= hash && hash <= hold.range.last) {
            hold.confirmedUntil = {};
        }
    }
}

std::vector<HeldRange> currentlyHeld(GrantOrders &orders, BootTime now)
{
    std::erase_if(orders.holds, [&](const KeyHold &hold) {
        return hold.possiblyHeldUntil <= now;
    });
    std::vector<HeldRange> held;
    for (const KeyHold &hold : orders.holds) {
        held.push_back(hold.range);
        held.back().confirmed = now < hold.confirmedUntil;
    }
    return held;
}

BootTime nextCheckAt(const GrantOrders &orders, BootTime now)
{
    BootTime next = BootTime::max();
    for (const KeyHold &hold : orders.holds) {
        const BootTime renewal = hold.confirmedUntil - orders.times.renewThreshold;
        for (const BootTime checkAt : {hold.nextOrderAt, renewal, hold.confirmedUntil, hold.possiblyHeldUntil}) {
            if (checkAt > now) {
                next = std::min(next, checkAt);
            }
        }
    }
    return next;
}

void forgetAll(GrantOrders &orders)
{
    orders.holds.clear();
    orders.open.clear();
}

} // namespace bergamotweir::agent
