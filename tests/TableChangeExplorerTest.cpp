#include "agent/RouteMap.h"
#include "control/Coordinator.h"
#include "control/State.h"
#include "table/RouteTable.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <array>
#include <cstdio>
#include <deque>
#include <memory>
#include <optional>
#include <variant>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

/** Guards that a run can disable, to show that the exploration finds the faults that they prevent. */
enum class DisabledGuard { None, OlderStateCheck, FullState, Removals };

enum class Event {
    PatchRoutes,
    ReplaceRoutes,
    MarkDomain,
    CommitInvisible,
    Tick,
    ConfirmLeader,
    Deliver,
    DeliverDelayed,
    BreakSession,
    RestartAgent,
    ChangeLeader,
    ChangeReplicas,
    Count
};

constexpr auto EventCount = static_cast<unsigned>(Event::Count);
using Message = std::shared_ptr<const wire::ControlMessage>;

/** @return the items of a table by name, because their order has no meaning */
std::map<std::string, std::string> contentOf(const wire::RouteTable &routes)
{
    std::map<std::string, std::string> content;
    for (const wire::Route &route : routes.routes()) {
        content[route.name()] = route.SerializeAsString();
    }
    for (const wire::RoutedService &service : routes.services()) {
        content["service " + service.name()] = service.SerializeAsString();
    }
    for (const wire::Workspace &workspace : routes.workspaces()) {
        content["workspace " + workspace.name()] = workspace.SerializeAsString();
    }
    return content;
}

/** Adds two workspaces that swap their keys at each change, or one that takes over the key of the other. */
void addWorkspaces(wire::PutRoutes &change)
{
    wire::RouteTable &table = *change.mutable_table();
    table.set_digest_key(std::string(32, 'd'));
    table.set_callers_need_keys(true);
    const bool removes = change.partial() && table.revision() % 4 == 2;
    for (std::uint64_t number = 0; number < (removes ? 1 : 2); ++number) {
        wire::Workspace &workspace = *table.add_workspaces();
        workspace.set_name("w" + std::to_string(number));
        workspace.add_keys("key" + std::to_string((number + table.revision()) % 2));
    }
    if (removes) {
        change.add_removed_workspaces("w1");
    }
}

/** One replicated state, the leader's coordinator and one agent that applies updates; runs the production code. */
class World
{
public:
    explicit World(DisabledGuard disabledGuard)
        : disabledGuard(disabledGuard)
    {
        this->lead();
        this->connect();
        this->put(false, "r0");
    }

    void handle(Event event)
    {
        this->now += 1ms;
        switch (event) {
        case Event::PatchRoutes:
            this->put(true, "r" + std::to_string(this->nextRevision % 3));
            break;
        case Event::ReplaceRoutes:
            this->put(false, "r" + std::to_string(this->nextRevision % 4));
            break;
        case Event::MarkDomain:
            this->mark();
            break;
        case Event::CommitInvisible: {
            wire::Command command;
            command.mutable_expire_claims();
            this->commit(command);
            break;
        }
        case Event::Tick:
            this->now += 60ms;
            this->coordinator->tick(this->now);
            break;
        case Event::ConfirmLeader:
            if (std::exchange(this->confirmationPending, false)) {
                this->coordinator->confirmed(true, this->now);
            }
            break;
        case Event::Deliver:
            this->deliver();
            break;
        case Event::DeliverDelayed:
            if (!this->delayed.empty()) {
                this->apply(*this->delayed.front());
                this->delayed.pop_front();
            }
            break;
        case Event::BreakSession:
            this->coordinator->closed(this->session);
            this->connect();
            break;
        case Event::RestartAgent:
            this->routeMap = {};
            ++this->incarnation;
            this->delayed.clear();
            this->stream.clear();
            this->coordinator->closed(this->session);
            this->connect();
            break;
        case Event::ChangeLeader:
            this->lead();
            this->connect();
            break;
        case Event::ChangeReplicas:
            this->coordinator->setControls({"10.0.0." + std::to_string(++this->replicas) + ":1"});
            break;
        case Event::Count:
            break;
        }
        this->collectActions();
        this->check();
    }

    /** Delivers all messages in flight, delayed ones last, and checks that the agent then has all committed changes. */
    void settle()
    {
        for (int round = 0; round < 12; ++round) {
            this->handle(Event::Tick);
            this->handle(Event::ConfirmLeader);
            while (!this->stream.empty()) {
                this->handle(Event::Deliver);
            }
        }
        while (!this->delayed.empty()) {
            this->handle(Event::DeliverDelayed);
        }
        this->require(this->routeMap.routes.revision() == this->state->tables().routes().revision(),
                      "the newest routes never reach the agent");
        const auto &out = this->state->tables().marks().failureDomainsOut;
        this->require(this->routeMap.failureDomainsOut.size() == out.size(), "a mark never reaches the agent");
    }

    std::optional<std::string> violation;

private:
    void require(bool holds, const char *what)
    {
        if (!holds && !this->violation) {
            this->violation = what;
        }
    }

    /** Makes a new leader of a replica whose state is restored from a snapshot. */
    void lead()
    {
        const std::string saved = this->state ? this->state->snapshot() : std::string();
        this->coordinator.reset();
        this->state = std::make_unique<control::State>();
        this->state->restore(saved);
        this->coordinator = std::make_unique<control::Coordinator>(control::CoordinatorSettings{}, *this->state);
        ++this->term;
        this->confirmationPending = false;
        this->coordinator->lead(this->now);
    }

    void connect()
    {
        this->delayed.insert(this->delayed.end(), this->stream.begin(), this->stream.end());
        this->stream.clear();
        wire::Hello hello;
        hello.set_agent("agent");
        hello.set_incarnation(std::to_string(this->incarnation));
        *hello.mutable_seen() = this->routeMap.version;
        this->coordinator->opened(++this->session, hello, this->now);
    }

    void put(bool partial, const std::string &name)
    {
        wire::Command command;
        wire::PutRoutes &change = *command.mutable_put_routes();
        change.set_partial(partial);
        change.set_content_hash(this->nextRevision);
        change.set_base_revision(this->state->tables().routes().revision());
        wire::RouteTable &table = *change.mutable_table();
        table.set_revision(this->nextRevision++);
        table.add_services()->set_name("s");
        wire::Route &route = *table.add_routes();
        route.set_name(name);
        route.set_host("host");
        route.set_prefix("/" + std::to_string(table.revision()) + "/");
        route.set_timeout_ms(100);
        route.set_attempts(1);
        route.add_parts()->set_service("s");
        route.mutable_parts(0)->set_weight(1);
        if (partial && table.revision() % 2 == 0) {
            change.add_removed_routes("r0");
        }
        addWorkspaces(change);
        this->commit(command);
        this->expectedContent[table.revision()] = contentOf(this->state->tables().routes());
    }

    void mark()
    {
        wire::Command command;
        wire::Mark &change = *command.mutable_mark();
        change.set_change_id(std::to_string(this->index));
        change.set_name("domain");
        change.set_in_service(!this->state->tables().marks().failureDomainsOut.empty());
        this->commit(command);
    }

    void commit(const wire::Command &command)
    {
        wire::Version version;
        version.set_term(this->term);
        version.set_index(++this->index);
        this->coordinator->applied(this->state->apply(version, command));
    }

    void collectActions()
    {
        for (const control::Action &action : this->coordinator->takeActions()) {
            if (const auto *send = std::get_if<control::SendAction>(&action)) {
                if (send->session == this->session) {
                    this->stream.push_back(send->message);
                }
            } else if (std::holds_alternative<control::ConfirmAction>(action)) {
                this->confirmationPending = true;
            }
        }
    }

    void deliver()
    {
        if (this->stream.empty()) {
            return;
        }
        const Message message = this->stream.front();
        this->stream.pop_front();
        this->apply(*message);
        wire::AgentMessage renewal;
        *renewal.mutable_renew()->mutable_in_force() = this->routeMap.version;
        this->coordinator->received(this->session, renewal, this->now);
    }

    void apply(const wire::ControlMessage &message)
    {
        wire::StateUpdate update = message.update();
        if (!message.has_update() || (this->disabledGuard == DisabledGuard::FullState && update.full())) {
            return;
        }
        if (this->disabledGuard == DisabledGuard::OlderStateCheck) {
            this->routeMap.version = {};
        }
        if (this->disabledGuard == DisabledGuard::Removals) {
            update.mutable_table()->mutable_routes_change()->clear_removed_routes();
            update.mutable_table()->mutable_routes_change()->clear_removed_workspaces();
        }
        const std::uint64_t before = this->routeMap.routes.revision();
        agent::apply(this->routeMap, update);
        this->require(this->routeMap.routes.revision() >= before, "the agent goes back to older routes");
    }

    void check()
    {
        if (this->routeMap.routes.revision() != 0) {
            this->require(contentOf(this->routeMap.routes) == this->expectedContent[this->routeMap.routes.revision()],
                          "the agent has other routes than were put under that revision");
        }
        const wire::InForceReport report = this->coordinator->inForce(this->state->visibleVersion());
        if (report.confirmed_size() > 0) {
            this->require(this->routeMap.routes.revision() == this->state->tables().routes().revision(),
                          "a change counts as in force at an agent that lacks it");
        }
    }

    const DisabledGuard disabledGuard;
    BootTime now{100s};
    std::unique_ptr<control::State> state;
    std::unique_ptr<control::Coordinator> coordinator;
    agent::RouteMap routeMap;
    std::deque<Message> stream;
    /** Messages of sessions that have ended. */
    std::deque<Message> delayed;
    std::map<std::uint64_t, std::map<std::string, std::string>> expectedContent;
    std::uint64_t nextRevision = 1;
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    control::SessionId session = 0;
    unsigned incarnation = 0;
    unsigned replicas = 0;
    bool confirmationPending = false;
};

using Sequence = std::vector<Event>;

std::optional<std::string> runSequence(const Sequence &events, DisabledGuard disabledGuard)
{
    World world(disabledGuard);
    for (const Event event : events) {
        world.handle(event);
    }
    world.settle();
    return world.violation;
}

/** Runs every sequence of @p depth events. @return the first violation */
std::optional<std::string> explore(unsigned depth, DisabledGuard disabledGuard, std::size_t &sequenceCount)
{
    Sequence events(depth, Event::PatchRoutes);
    while (true) {
        ++sequenceCount;
        if (auto violation = runSequence(events, disabledGuard)) {
            return violation;
        }
        std::size_t position = 0;
        while (position < depth && static_cast<unsigned>(events[position]) + 1 == EventCount) {
            events[position++] = Event::PatchRoutes;
        }
        if (position == depth) {
            return std::nullopt;
        }
        events[position] = static_cast<Event>(static_cast<unsigned>(events[position]) + 1);
    }
}

std::optional<std::string> runSeed(std::uint64_t seed, std::size_t length)
{
    pcg32 random(seed);
    Sequence events;
    for (std::size_t step = 0; step < length; ++step) {
        events.push_back(static_cast<Event>(random(EventCount)));
    }
    return runSequence(events, DisabledGuard::None);
}

} // namespace

// Guards against a change of the table that is lost, reverted or wrongly reported as in force.
TEST_CASE("table changes reach an agent whatever the order of changes, sessions and leaders")
{
    constexpr unsigned Depth = 4;
    std::size_t sequenceCount = 0;
    const std::optional<std::string> violation = explore(Depth, DisabledGuard::None, sequenceCount);
    CHECK(violation.value_or("nothing") == "nothing");
    std::printf("  %zu orders of %u events played\n", sequenceCount, Depth);
}

// Guards against a restarted agent that is reported with the versions that its predecessor had in force.
TEST_CASE("a restarted agent counts as in force only once it has the state again")
{
    const Sequence events{Event::RestartAgent,
                          Event::Deliver,
                          Event::ConfirmLeader,
                          Event::ConfirmLeader,
                          Event::Deliver,
                          Event::RestartAgent};
    CHECK(runSequence(events, DisabledGuard::None).value_or("nothing") == "nothing");
}

// Guards against the same failures in sequences that are too long to run in every order.
TEST_CASE("table changes reach an agent in long sequences of events, by seed")
{
    constexpr std::uint64_t Seeds = 1500;
    constexpr std::size_t Length = 40;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const std::optional<std::string> violation = runSeed(seed, Length);
        CAPTURE(seed);
        REQUIRE(violation.value_or("nothing") == "nothing");
    }
}

// Guards against an exploration that can't fail: each disabled guard must be found.
TEST_CASE("the exploration of table changes finds each guard that is disabled")
{
    const DisabledGuard disabledGuard =
        GENERATE(DisabledGuard::OlderStateCheck, DisabledGuard::FullState, DisabledGuard::Removals);
    std::size_t sequenceCount = 0;
    CHECK(explore(4, disabledGuard, sequenceCount).has_value());
}
