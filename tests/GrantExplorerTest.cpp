#include "agent/GrantOrders.h"
#include "agent/Lease.h"
#include "agent/RouteMap.h"

#include <catch2/catch.hpp>

#include <array>
#include <cstdio>
#include <optional>
#include <sstream>
#include <unordered_set>

using namespace bergamotweir;
using namespace bergamotweir::agent;
using namespace std::chrono_literals;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Step{100};
constexpr milliseconds LeaseLength{600};
/** Time that control waits beyond the end of a lease before it reassigns the keys. */
constexpr milliseconds ReassignMargin{100};
constexpr const char *Service = "seats";
constexpr std::uint64_t LastHash = ~std::uint64_t{0};
constexpr std::size_t Sides = 2;

/** The guard that is disabled, to show that the explorer finds the fault that it prevents. */
enum class Without { Nothing, UnansweredGrants, LeaseBound, Predecessor, AnswerOfRelease };

/** Short times, so that a whole lease takes few steps; they are in the same order as the default times. */
GrantTimes shortTimes()
{
    GrantTimes times;
    times.grantDuration = 200ms;
    times.minGrantDuration = 100ms;
    times.renewThreshold = 150ms;
    times.grantTimeout = Step;
    times.releaseTimeout = Step;
    times.retryDelay = Step;
    return times;
}

/** An order on its way to an upstream. */
struct Sent {
    GrantOrder order;
    /** The agent no longer waits for its answer. */
    bool late = false;
};

/** The process of an upstream. */
struct Process {
    std::uint64_t epoch = 0;
    std::uint64_t highestSeen = 0;
    BootTime until;
};

/** One upstream and its agent, which runs the functions under test. */
struct Side {
    Process process;
    std::vector<Sent> sent;
    GrantOrders orders;
    Ownership ownership;
    RouteMap map;
    BootTime leaseUntil;
    BootTime startedAt;
    bool isPartitioned = false;
};

/** Both sides and a model of control: one slice, its owner and epoch, and the leases that it must wait for. */
struct World {
    std::array<Side, Sides> sides;
    BootTime now{100s};
    std::size_t owner = 0;
    std::uint64_t epoch = 1;
    std::array<BootTime, Sides> renewedAt{};
    bool moving = false;
    unsigned restarts = 0;
    Without without = Without::Nothing;
};

void sendOwner(World &world, Side &side)
{
    wire::StateUpdate state;
    state.mutable_version()->set_index(world.epoch);
    state.set_full(true);
    wire::ServiceSlices &slices = *state.add_services();
    slices.set_service(Service);
    wire::SliceOwner &slice = *slices.add_slices();
    slice.set_owner(static_cast<std::uint32_t>(world.owner + 1));
    slice.set_epoch(world.epoch);
    apply(side.map, state);
    forgetOldEpochs(side.ownership, side.map);
}

void assignTo(World &world, std::size_t owner)
{
    world.owner = owner;
    world.epoch++;
    world.moving = false;
    for (Side &side : world.sides) {
        if (!side.isPartitioned) {
            sendOwner(world, side);
        }
    }
}

void publish(World &world, Side &side)
{
    if (world.without == Without::UnansweredGrants) {
        for (KeyHold &hold : side.orders.holds) {
            hold.unansweredUntil = {};
        }
    }
    side.ownership.held[Service] = currentlyHeld(side.orders, world.now);
    const bool hasExpired = world.without == Without::Predecessor || world.now >= side.startedAt + LeaseLength;
    side.ownership.predecessorGrantsExpired = hasExpired;
}

/** Runs one step of the agent: sends the orders that are due and reports released slices. */
void runAgent(World &world, std::size_t number)
{
    Side &side = world.sides.at(number);
    const auto slice = findSlice(side.map, Service, 0);
    std::vector<WantedKeys> wanted;
    std::vector<HeldRange> unwanted;
    const SliceKey key{Service, 0, slice ? slice->epoch : 0};
    const bool isGivenUp = side.ownership.revoked.contains(key) || side.ownership.released.contains(key);
    if (slice && slice->owner == number + 1 && !isGivenUp) {
        wanted.push_back({{0, LastHash, slice->epoch}, {}});
    }
    for (const SliceKey &revoked : side.ownership.revoked) {
        unwanted.push_back({0, LastHash, revoked.epoch});
        side.ownership.revokesSent.insert(revoked);
    }
    const BootTime lease = world.without == Without::LeaseBound ? world.now + 1h : side.leaseUntil;
    for (const GrantOrder &order : takeDueOrders(side.orders, wanted, unwanted, lease, world.now)) {
        side.sent.push_back({order});
    }
    publish(world, side);
    if (side.isPartitioned) {
        return;
    }
    const wire::Released released = takeReleased(side.ownership, side.map);
    const bool isCurrent = released.slices_size() > 0 && released.slices(0).epoch() == world.epoch;
    if (isCurrent && world.owner == number) {
        assignTo(world, 1 - number);
    }
}

/** Executes an order at an upstream whose clock is slow. */
OrderOutcome execute(World &world, Process &process, const GrantOrder &order)
{
    if (order.kind == OrderKind::Release) {
        if (process.epoch <= order.range.epoch) {
            process.until = {};
        }
        return OrderOutcome::Done;
    }
    if (order.range.epoch < process.highestSeen) {
        return OrderOutcome::Outdated;
    }
    const auto slow = milliseconds(static_cast<int>(static_cast<double>(order.holdFor.count()) * 1.02));
    const BootTime until = order.sentAt + slow;
    process.highestSeen = order.range.epoch;
    process.epoch = order.range.epoch;
    process.until = until > world.now ? until : BootTime();
    return OrderOutcome::Done;
}

void advance(World &world)
{
    world.now += Step;
    for (std::size_t number = 0; number < Sides; ++number) {
        Side &side = world.sides.at(number);
        for (Sent &sent : side.sent) {
            if (!sent.late) {
                sent.late = true;
                const bool treatAsDone =
                    world.without == Without::AnswerOfRelease && sent.order.kind == OrderKind::Release;
                recordOrderOutcome(
                    side.orders, sent.order.id, treatAsDone ? OrderOutcome::Done : OrderOutcome::Unknown, world.now);
            }
        }
        std::erase_if(side.sent, [&](const Sent &sent) {
            return world.now - sent.order.sentAt > LeaseLength;
        });
        if (!side.isPartitioned) {
            side.leaseUntil = world.now + LeaseLength;
            world.renewedAt.at(number) = world.now;
        }
    }
    const bool ownerIsPartitioned = world.sides.at(world.owner).isPartitioned;
    if (ownerIsPartitioned && world.now > world.renewedAt.at(world.owner) + LeaseLength + ReassignMargin) {
        assignTo(world, 1 - world.owner);
    }
}

void answer(World &world, Side &side, std::size_t index, bool isDelivered)
{
    const Sent sent = side.sent.at(index);
    const OrderOutcome outcome = execute(world, side.process, sent.order);
    if (isDelivered) {
        side.sent.erase(side.sent.begin() + static_cast<std::ptrdiff_t>(index));
        recordOrderOutcome(side.orders, sent.order.id, outcome, world.now);
        return;
    }
    recordOrderOutcome(side.orders, sent.order.id, OrderOutcome::Unknown, world.now);
    side.sent.erase(side.sent.begin() + static_cast<std::ptrdiff_t>(index));
}

void beginMove(World &world)
{
    world.moving = true;
    wire::Revoke order;
    wire::SliceRef &slice = *order.add_slices();
    slice.set_service(Service);
    slice.set_epoch(world.epoch);
    revoke(world.sides.at(world.owner).ownership, order);
}

void restartAgent(World &world, std::size_t number)
{
    Side &side = world.sides.at(number);
    world.restarts++;
    side.orders = GrantOrders{.times = shortTimes(), .holds = {}, .open = {}, .outdated = {}};
    side.ownership = Ownership{};
    side.ownership.upstreamsHoldGrants = true;
    side.ownership.ownUpstreams = {static_cast<std::uint32_t>(number + 1)};
    side.map = RouteMap{};
    side.startedAt = world.now;
    side.leaseUntil = side.isPartitioned ? BootTime() : world.now + LeaseLength;
    for (Sent &sent : side.sent) {
        sent.late = true;
    }
    if (!side.isPartitioned) {
        world.renewedAt.at(number) = world.now;
        sendOwner(world, side);
        if (world.moving && world.owner == number) {
            beginMove(world);
        }
    }
}

/** Restarts the upstream's process; its agent is notified, and control assigns a new epoch. */
void restartProcess(World &world, std::size_t number)
{
    Side &side = world.sides.at(number);
    world.restarts++;
    side.process = {};
    side.sent.clear();
    forgetAll(side.orders);
    publish(world, side);
    if (world.owner == number && !side.isPartitioned) {
        assignTo(world, number);
    }
}

/** Applies the event with that number. @return false when there is no such event */
bool applyEvent(World &world, unsigned event)
{
    unsigned number = event;
    if (number-- == 0) {
        advance(world);
        return true;
    }
    if (number-- == 0) {
        if (!world.moving && !world.sides.at(world.owner).isPartitioned) {
            beginMove(world);
        }
        return true;
    }
    for (std::size_t place = 0; place < Sides; ++place) {
        Side &side = world.sides.at(place);
        if (number-- == 0) {
            side.isPartitioned = !side.isPartitioned;
            if (!side.isPartitioned) {
                sendOwner(world, side);
            }
            return true;
        }
        if (number-- == 0) {
            if (world.restarts < 2) {
                restartAgent(world, place);
            }
            return true;
        }
        if (number-- == 0) {
            if (world.restarts < 2) {
                restartProcess(world, place);
            }
            return true;
        }
        for (std::size_t index = 0; index < side.sent.size(); ++index) {
            if (number-- == 0) {
                answer(world, side, index, true);
                return true;
            }
            if (number-- == 0) {
                answer(world, side, index, false);
                return true;
            }
        }
    }
    return false;
}

bool holds(const World &world, std::size_t number)
{
    return world.sides.at(number).process.until > world.now;
}

/** @return a text of all state that determines the following events, with times relative to now */
std::string fingerprint(const World &world)
{
    std::ostringstream text;
    const auto since = [&](BootTime time) {
        return time == BootTime() ? -99999 : (time - world.now) / 1ms;
    };
    text << world.owner << world.epoch << world.moving << world.restarts;
    for (std::size_t number = 0; number < Sides; ++number) {
        const Side &side = world.sides.at(number);
        text << '|' << side.process.epoch << ',' << side.process.highestSeen << ',' << since(side.process.until) << ','
             << since(side.leaseUntil) << ',' << since(world.renewedAt.at(number)) << ',' << side.isPartitioned
             << std::max<std::int64_t>(since(side.startedAt), -2000) << side.map.version.index();
        for (const Sent &sent : side.sent) {
            text << ';' << static_cast<int>(sent.order.kind) << sent.order.range.epoch << ','
                 << since(sent.order.sentAt) << sent.late << sent.order.holdFor.count();
        }
        for (const KeyHold &hold : side.orders.holds) {
            text << '/' << hold.range.epoch << ',' << since(hold.confirmedUntil) << ',' << since(hold.possiblyHeldUntil)
                 << ',' << since(hold.unansweredUntil) << ',' << since(hold.nextOrderAt);
        }
        text << '+' << side.ownership.revoked.size() << side.ownership.released.size()
             << side.ownership.revokesSent.size() << side.orders.outdated.size();
    }
    return text.str();
}

struct Exploration {
    std::size_t states = 0;
    /** The first sequence of events after which two upstreams held the keys. */
    std::optional<std::vector<unsigned>> violation;
};

void explore(const World &world,
             unsigned depth,
             std::vector<unsigned> &path,
             std::vector<std::unordered_set<std::string>> &seen,
             Exploration &found)
{
    for (unsigned event = 0; !found.violation; ++event) {
        World next = world;
        if (!applyEvent(next, event)) {
            return;
        }
        path.push_back(event);
        for (std::size_t number = 0; number < Sides; ++number) {
            runAgent(next, number);
        }
        found.states++;
        if (holds(next, 0) && holds(next, 1)) {
            found.violation = path;
        } else if (depth > 1 && seen.at(depth).insert(fingerprint(next)).second) {
            explore(next, depth - 1, path, seen, found);
        }
        path.pop_back();
    }
}

/** @param before events that are applied before the exploration */
Exploration explored(Without without, unsigned depth, const std::vector<unsigned> &before = {})
{
    World world;
    world.without = without;
    for (std::size_t number = 0; number < Sides; ++number) {
        restartAgent(world, number);
        world.sides.at(number).startedAt = world.now - 1h;
        world.renewedAt.at(number) = world.now;
    }
    world.restarts = 0;
    // The owner holds its keys before the first event.
    runAgent(world, 0);
    answer(world, world.sides.at(0), 0, true);
    runAgent(world, 0);
    REQUIRE(holds(world, 0));
    for (const unsigned event : before) {
        REQUIRE(applyEvent(world, event));
        runAgent(world, 0);
        runAgent(world, 1);
    }
    Exploration found;
    std::vector<unsigned> path;
    std::vector<std::unordered_set<std::string>> seen(depth + 1);
    explore(world, depth, path, seen, found);
    return found;
}

} // namespace

/*
 * Guards against two upstreams that hold the same key. Orders and answers get lost, orders are executed late, agents
 * and upstreams restart, and agents are partitioned from control. Every sequence of these events is explored to a fixed
 * depth with the agent's own functions.
 */
TEST_CASE("grants by call: no sequence of events lets two upstreams hold a key")
{
    constexpr unsigned Depth = 8;
    const Exploration found = explored(Without::Nothing, Depth);
    std::printf("grants by call: %zu states to depth %u\n", found.states, Depth);
    REQUIRE(found.states > 1000);
    INFO(Catch::Detail::stringify(found.violation.value_or(std::vector<unsigned>())));
    REQUIRE_FALSE(found.violation);
}

TEST_CASE("grants by call: the explorer finds the fault that each guard prevents")
{
    constexpr unsigned Depth = 9;
    REQUIRE(explored(Without::UnansweredGrants, Depth).violation);
    REQUIRE(explored(Without::AnswerOfRelease, Depth).violation);
    REQUIRE(explored(Without::Predecessor, Depth).violation);
    // The owner is partitioned from control for most of its lease.
    const std::vector<unsigned> partitioned{2, 0, 0, 0, 0, 0};
    REQUIRE(explored(Without::LeaseBound, Depth, partitioned).violation);
    const auto violation = explored(Without::Nothing, Depth - 1, partitioned).violation;
    INFO(Catch::Detail::stringify(violation.value_or(std::vector<unsigned>())));
    REQUIRE_FALSE(violation);
}
