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

/** Guards that a world may lack, to show that the explorer finds what they prevent. */
enum class Without { Nothing, OlderStateCheck, FullState, Removals };

enum class Event {
    PatchRoutes,
    ReplaceRoutes,
    MarkDomain,
    CommitUnseen,
    Tick,
    ConfirmLeader,
    Deliver,
    DeliverLate,
    BreakSession,
    RestartAgent,
    ChangeLeader,
    ChangeReplicas,
    Count
};

constexpr auto EventCount = static_cast<unsigned>(Event::Count);
using Message = std::shared_ptr<const wire::ControlMessage>;

/** Items by name: their order in a table means nothing. */
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

/** Adds two workspaces that exchange their keys at each change, or one that takes over the key of the other. */
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

/** One replicated state, the leader's coordinator and one agent that applies what it is sent; runs the real core. */
class World
{
public:
    explicit World(Without without)
        : without(without)
    {
        this->lead();
        this->connect();
        this->put(false, "r0");
    }

    void happen(Event event)
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
        case Event::CommitUnseen: {
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
            if (std::exchange(this->confirming, false)) {
                this->coordinator->confirmed(true, this->now);
            }
            break;
        case Event::Deliver:
            this->deliver();
            break;
        case Event::DeliverLate:
            if (!this->late.empty()) {
                this->apply(*this->late.front());
                this->late.pop_front();
            }
            break;
        case Event::BreakSession:
            this->coordinator->closed(this->session);
            this->connect();
            break;
        case Event::RestartAgent:
            this->map = {};
            ++this->life;
            this->late.clear();
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
        this->perform();
        this->check();
    }

    /** Lets everything under way arrive, late messages last, and checks that the agent then has all that was committed.
     */
    void settle()
    {
        for (int round = 0; round < 12; ++round) {
            this->happen(Event::Tick);
            this->happen(Event::ConfirmLeader);
            while (!this->stream.empty()) {
                this->happen(Event::Deliver);
            }
        }
        while (!this->late.empty()) {
            this->happen(Event::DeliverLate);
        }
        this->require(this->map.routes.revision() == this->state->tables().routes().revision(),
                      "the newest routes never reach the agent");
        const auto &out = this->state->tables().marks().failureDomainsOut;
        this->require(this->map.failureDomainsOut.size() == out.size(), "a mark never reaches the agent");
    }

    std::optional<std::string> broken;

private:
    void require(bool holds, const char *what)
    {
        if (!holds && !this->broken) {
            this->broken = what;
        }
    }

    /** Makes a replica the leader that has its state from a snapshot. */
    void lead()
    {
        const std::string saved = this->state ? this->state->snapshot() : std::string();
        this->coordinator.reset();
        this->state = std::make_unique<control::State>();
        this->state->restore(saved);
        this->coordinator = std::make_unique<control::Coordinator>(control::CoordinatorSettings{}, *this->state);
        ++this->term;
        this->confirming = false;
        this->coordinator->lead(this->now);
    }

    void connect()
    {
        this->late.insert(this->late.end(), this->stream.begin(), this->stream.end());
        this->stream.clear();
        wire::Hello hello;
        hello.set_agent("agent");
        hello.set_incarnation(std::to_string(this->life));
        *hello.mutable_seen() = this->map.version;
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
        this->known[table.revision()] = contentOf(this->state->tables().routes());
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

    void perform()
    {
        for (const control::Action &action : this->coordinator->takeActions()) {
            if (const auto *send = std::get_if<control::SendAction>(&action)) {
                if (send->session == this->session) {
                    this->stream.push_back(send->message);
                }
            } else if (std::holds_alternative<control::ConfirmAction>(action)) {
                this->confirming = true;
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
        *renewal.mutable_renew()->mutable_in_force() = this->map.version;
        this->coordinator->received(this->session, renewal, this->now);
    }

    void apply(const wire::ControlMessage &message)
    {
        wire::StateUpdate update = message.update();
        if (!message.has_update() || (this->without == Without::FullState && update.full())) {
            return;
        }
        if (this->without == Without::OlderStateCheck) {
            this->map.version = {};
        }
        if (this->without == Without::Removals) {
            update.mutable_table()->mutable_routes_change()->clear_removed_routes();
            update.mutable_table()->mutable_routes_change()->clear_removed_workspaces();
        }
        const std::uint64_t before = this->map.routes.revision();
        agent::apply(this->map, update);
        this->require(this->map.routes.revision() >= before, "the agent goes back to older routes");
    }

    void check()
    {
        if (this->map.routes.revision() != 0) {
            this->require(contentOf(this->map.routes) == this->known[this->map.routes.revision()],
                          "the agent has other routes than were put under that revision");
        }
        const wire::InForceReport report = this->coordinator->inForce(this->state->visibleVersion());
        if (report.confirmed_size() > 0) {
            this->require(this->map.routes.revision() == this->state->tables().routes().revision(),
                          "a change counts as in force at an agent that lacks it");
        }
    }

    const Without without;
    BootTime now{100s};
    std::unique_ptr<control::State> state;
    std::unique_ptr<control::Coordinator> coordinator;
    agent::RouteMap map;
    std::deque<Message> stream;
    /** Messages of sessions that have ended. */
    std::deque<Message> late;
    std::map<std::uint64_t, std::map<std::string, std::string>> known;
    std::uint64_t nextRevision = 1;
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    control::SessionId session = 0;
    unsigned life = 0;
    unsigned replicas = 0;
    bool confirming = false;
};

using Sequence = std::vector<Event>;

std::optional<std::string> play(const Sequence &events, Without without)
{
    World world(without);
    for (const Event event : events) {
        world.happen(event);
    }
    world.settle();
    return world.broken;
}

/** Plays every sequence of @p depth events. @return what broke first */
std::optional<std::string> explore(unsigned depth, Without without, std::size_t &played)
{
    Sequence events(depth, Event::PatchRoutes);
    while (true) {
        ++played;
        if (auto broken = play(events, without)) {
            return broken;
        }
        std::size_t place = 0;
        while (place < depth && static_cast<unsigned>(events[place]) + 1 == EventCount) {
            events[place++] = Event::PatchRoutes;
        }
        if (place == depth) {
            return std::nullopt;
        }
        events[place] = static_cast<Event>(static_cast<unsigned>(events[place]) + 1);
    }
}

std::optional<std::string> playSeed(std::uint64_t seed, std::size_t length)
{
    pcg32 random(seed);
    Sequence events;
    for (std::size_t step = 0; step < length; ++step) {
        events.push_back(static_cast<Event>(random(EventCount)));
    }
    return play(events, Without::Nothing);
}

} // namespace

// Guards against a change of the table that is lost, reverted or wrongly reported in force.
TEST_CASE("table changes reach an agent whatever the order of changes, sessions and leaders")
{
    constexpr unsigned Depth = 4;
    std::size_t played = 0;
    const std::optional<std::string> broken = explore(Depth, Without::Nothing, played);
    CHECK(broken.value_or("nothing") == "nothing");
    std::printf("  %zu orders of %u events played\n", played, Depth);
}

// Guards against an agent that restarted and counts as having what its process before had in force.
TEST_CASE("a restarted agent counts as in force only once it has the state again")
{
    const Sequence events{Event::RestartAgent,
                          Event::Deliver,
                          Event::ConfirmLeader,
                          Event::ConfirmLeader,
                          Event::Deliver,
                          Event::RestartAgent};
    CHECK(play(events, Without::Nothing).value_or("nothing") == "nothing");
}

// Guards against the same failures in sequences longer than can be played in every order.
TEST_CASE("table changes reach an agent in long sequences of events, by seed")
{
    constexpr std::uint64_t Seeds = 1500;
    constexpr std::size_t Length = 40;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        const std::optional<std::string> broken = playSeed(seed, Length);
        CAPTURE(seed);
        REQUIRE(broken.value_or("nothing") == "nothing");
    }
}

// Guards against an explorer that can't fail: each guard taken out must be found.
TEST_CASE("the exploration of table changes finds each guard that is taken out")
{
    const Without without = GENERATE(Without::OlderStateCheck, Without::FullState, Without::Removals);
    std::size_t played = 0;
    CHECK(explore(4, without, played).has_value());
}
