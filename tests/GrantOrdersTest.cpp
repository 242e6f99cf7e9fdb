#include "agent/GrantOrders.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace bergamotweir::agent;
using namespace std::chrono_literals;

namespace {

constexpr BootTime Start{100s};
constexpr HeldRange Keys{0, 999, 4};

/** One upstream whose answers are given by the test. */
struct Upstream {
    GrantOrders orders;
    BootTime now = Start;
    BootTime leaseUntil = Start + 1h;

    std::vector<GrantOrder> takeDue(const std::vector<WantedKeys> &wanted, const std::vector<HeldRange> &unwanted = {})
    {
        return takeDueOrders(this->orders, wanted, unwanted, this->leaseUntil, this->now);
    }

    GrantOrder takeOnlyGrant(const HeldRange &range = Keys)
    {
        const std::vector<GrantOrder> due = this->takeDue({{range, {}}});
        REQUIRE(due.size() == 1);
        REQUIRE(due.front().kind == OrderKind::Grant);
        return due.front();
    }

    void recordOutcome(const GrantOrder &order, OrderOutcome outcome)
    {
        recordOrderOutcome(this->orders, order.id, outcome, this->now);
    }

    std::vector<HeldRange> held()
    {
        return currentlyHeld(this->orders, this->now);
    }

    bool isConfirmed()
    {
        const std::vector<HeldRange> ranges = this->held();
        return !ranges.empty() && ranges.front().confirmed;
    }
};

} // namespace

TEST_CASE("grants by call: keys are confirmed only by the answer, and renewed before they expire")
{
    Upstream upstream;
    const GrantOrder first = upstream.takeOnlyGrant();
    REQUIRE(upstream.held().size() == 1);
    REQUIRE_FALSE(upstream.isConfirmed());
    REQUIRE(upstream.takeDue({{Keys, {}}}).empty());
    upstream.now += 5ms;
    upstream.recordOutcome(first, OrderOutcome::Done);
    REQUIRE(upstream.isConfirmed());
    REQUIRE(upstream.takeDue({{Keys, {}}}).empty());
    const BootTime next = nextCheckAt(upstream.orders, upstream.now);
    REQUIRE(next > upstream.now);
    REQUIRE(next < Start + upstream.orders.times.grantDuration);
    upstream.now = next;
    upstream.recordOutcome(upstream.takeOnlyGrant(), OrderOutcome::Done);
    REQUIRE(upstream.isConfirmed());
}

/*
 * Control can't be reached and the agent's lease expires while the upstream still answers. A grant that outlasts the
 * lease would let the upstream serve keys that control has assigned to another in the meantime.
 */
TEST_CASE("grants by call: no grant outlasts the agent's lease, however late it arrives and however slow the clock")
{
    Upstream upstream;
    upstream.leaseUntil = Start + 1000ms;
    const GrantOrder order = upstream.takeOnlyGrant();
    const GrantTimes &times = upstream.orders.times;
    const auto latest =
        order.sentAt + times.grantTimeout
        + std::chrono::milliseconds(static_cast<int>(static_cast<double>(order.holdFor.count()) * 1.02));
    REQUIRE(latest <= upstream.leaseUntil);
    upstream.recordOutcome(order, OrderOutcome::Done);
    upstream.now = Start + 700ms;
    REQUIRE(upstream.takeDue({{Keys, {}}}).empty());
}

/*
 * The answer to a grant is lost, and the upstream executes the grant a second later. Meanwhile the keys are released,
 * which the upstream answers immediately. If the keys counted as free then, another upstream would get them while the
 * first one holds them by the late grant.
 */
TEST_CASE("grants by call: after a release, keys stay possibly held until an unanswered grant has expired")
{
    Upstream upstream;
    upstream.recordOutcome(upstream.takeOnlyGrant(), OrderOutcome::Done);
    upstream.now = Start + 800ms;
    const GrantOrder lost = upstream.takeOnlyGrant();
    upstream.now += upstream.orders.times.grantTimeout;
    upstream.recordOutcome(lost, OrderOutcome::Unknown);
    upstream.now += upstream.orders.times.retryDelay;
    const std::vector<GrantOrder> release = upstream.takeDue({}, {Keys});
    REQUIRE(release.size() == 1);
    REQUIRE(release.front().kind == OrderKind::Release);
    upstream.recordOutcome(release.front(), OrderOutcome::Done);
    REQUIRE(upstream.held().size() == 1);
    REQUIRE_FALSE(upstream.isConfirmed());
    REQUIRE(upstream.takeDue({}, {Keys}).empty());
    upstream.now = lost.sentAt + upstream.orders.times.grantDuration;
    REQUIRE(upstream.held().size() == 1);
    upstream.now += upstream.orders.times.grantTimeout + 50ms;
    REQUIRE(upstream.held().empty());
}

TEST_CASE("grants by call: an answered release frees its range immediately, and the rest stays held")
{
    Upstream upstream;
    upstream.recordOutcome(upstream.takeOnlyGrant(), OrderOutcome::Done);
    const std::vector<GrantOrder> release = upstream.takeDue({}, {{200, 299, 4}});
    REQUIRE(release.size() == 1);
    upstream.recordOutcome(release.front(), OrderOutcome::Done);
    const std::vector<HeldRange> held = upstream.held();
    REQUIRE(held.size() == 2);
    REQUIRE(held[0] == HeldRange{0, 199, 4});
    REQUIRE(held[1] == HeldRange{300, 999, 4});
}

TEST_CASE("grants by call: an unanswered release frees nothing and is sent again after a delay")
{
    Upstream upstream;
    upstream.recordOutcome(upstream.takeOnlyGrant(), OrderOutcome::Done);
    const std::vector<GrantOrder> release = upstream.takeDue({}, {Keys});
    REQUIRE(release.size() == 1);
    upstream.now += upstream.orders.times.releaseTimeout;
    upstream.recordOutcome(release.front(), OrderOutcome::Unknown);
    REQUIRE(upstream.held().size() == 1);
    REQUIRE(upstream.takeDue({}, {Keys}).empty());
    upstream.now += upstream.orders.times.retryDelay;
    REQUIRE(upstream.takeDue({}, {Keys}).size() == 1);
}

/*
 * An upstream refuses a grant because it knows a higher epoch, granted under another leader. The grant would never be
 * accepted, and each retry would cost a call.
 */
TEST_CASE("grants by call: a grant refused as outdated is not sent again under that epoch")
{
    Upstream upstream;
    upstream.recordOutcome(upstream.takeOnlyGrant(), OrderOutcome::Outdated);
    upstream.now += 10s;
    REQUIRE(upstream.takeDue({{Keys, {}}}).empty());
    REQUIRE(upstream.takeDue({{{0, 999, 5}, {}}}).size() == 1);
}

/*
 * An upstream answers 421 for a key that it was granted, as a late order removed the key. Without this, requests would
 * be sent there until the next renewal.
 */
TEST_CASE("grants by call: a key that the upstream doesn't hold is no longer confirmed, and is granted again at once")
{
    Upstream upstream;
    upstream.recordOutcome(upstream.takeOnlyGrant(), OrderOutcome::Done);
    recordKeyNotHeld(upstream.orders, 500);
    REQUIRE_FALSE(upstream.isConfirmed());
    upstream.recordOutcome(upstream.takeOnlyGrant(), OrderOutcome::Done);
    REQUIRE(upstream.isConfirmed());
}

TEST_CASE("grants by call: an upstream that doesn't answer gets the next order only after a delay")
{
    Upstream upstream;
    upstream.recordOutcome(upstream.takeOnlyGrant(), OrderOutcome::NotReceived);
    REQUIRE(upstream.takeDue({{Keys, {}}}).empty());
    REQUIRE(nextCheckAt(upstream.orders, upstream.now) == upstream.now + upstream.orders.times.retryDelay);
    upstream.now += upstream.orders.times.retryDelay;
    REQUIRE(upstream.takeDue({{Keys, {}}}).size() == 1);
}

TEST_CASE("grants by call: a process that has ended holds nothing, and answers to its orders change nothing")
{
    Upstream upstream;
    const GrantOrder order = upstream.takeOnlyGrant();
    forgetAll(upstream.orders);
    upstream.recordOutcome(order, OrderOutcome::Done);
    REQUIRE(upstream.held().empty());
    REQUIRE(nextCheckAt(upstream.orders, upstream.now) == BootTime::max());
}
