#include "control/Coordinator.h"
#include "control/State.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds Lease{500};
constexpr std::chrono::milliseconds Drift{25};
constexpr std::chrono::milliseconds Timeout{300};

/** A leader whose rounds and proposals end when the test decides; agent a uses session 1, agent b session 2. */
struct LeaderFixture {
    control::State state;
    control::Coordinator coordinator;
    BootTime now{1000s};
    std::uint64_t index = 0;
    std::uint64_t sequence = 0;
    std::vector<control::ProposeAction> proposals;
    std::map<control::SessionId, std::vector<wire::ControlMessage>> sent;

    explicit LeaderFixture(bool checksGrants = true, const control::CoordinatorSettings &settings = {})
        : coordinator(settings, this->state)
    {
        wire::Command table;
        table.mutable_put_table()->set_change_id("t");
        table.mutable_put_table()->set_csv("service,keyed,timeout_ms\ncatalogue,yes,300\n");
        this->commit(table);
        this->coordinator.lead(this->now);
        for (const control::SessionId session : {1U, 2U}) {
            this->open(session, session == 1 ? "a" : "b", "first", checksGrants);
        }
        for (int round = 0; round < 4; ++round) {
            this->advance(200ms);
            this->commitAll();
        }
        REQUIRE(this->owned("a") > 0);
        REQUIRE(this->owned("b") > 0);
    }

    void collect()
    {
        for (control::Action &action : this->coordinator.takeActions()) {
            if (auto *const proposal = std::get_if<control::ProposeAction>(&action)) {
                this->proposals.push_back(std::move(*proposal));
            } else if (auto *const send = std::get_if<control::SendAction>(&action)) {
                this->sent[send->session].push_back(*send->message);
            }
        }
    }

    void commit(const wire::Command &command)
    {
        wire::Version version;
        version.set_term(1);
        version.set_index(++this->index);
        this->coordinator.applied(this->state.apply(version, command));
    }

    void commitAll()
    {
        for (this->collect(); !this->proposals.empty(); this->collect()) {
            for (const control::ProposeAction &proposal : std::exchange(this->proposals, {})) {
                this->commit(proposal.command);
                this->coordinator.proposed(proposal.proposal, control::ProposalOutcome::Applied);
            }
            this->coordinator.tick(this->now);
        }
    }

    /** Sends Released for all slices that the agent was asked to release. */
    void releaseAll(control::SessionId session)
    {
        for (const wire::ControlMessage &message : std::exchange(this->sent[session], {})) {
            if (!message.has_revoke()) {
                continue;
            }
            wire::AgentMessage answer;
            *answer.mutable_released()->mutable_slices() = message.revoke().slices();
            this->coordinator.received(session, answer, this->now);
            this->collect();
        }
    }

    /** @return first hash and epoch of the slices that an upstream owns */
    std::map<std::uint64_t, std::uint64_t> epochsOf(const std::string &upstream) const
    {
        std::map<std::uint64_t, std::uint64_t> epochs;
        for (const auto &[begin, holding] : this->state.services().at("catalogue").slices()) {
            const wire::UpstreamInfo *const owner = this->state.upstreams().find(holding.owner);
            if (owner != nullptr && owner->name() == upstream) {
                epochs[begin] = holding.epoch;
            }
        }
        return epochs;
    }

    void confirm()
    {
        this->coordinator.confirmed(true, this->now);
        this->collect();
    }

    void open(control::SessionId session,
              const std::string &name,
              const std::string &incarnation,
              bool checks = true,
              std::chrono::milliseconds uptime = 0ms)
    {
        this->sendHello(session, name, incarnation, uptime);
        this->announce(session, "upstream-" + name, checks);
    }

    void sendHello(control::SessionId session,
                   const std::string &name,
                   const std::string &incarnation,
                   std::chrono::milliseconds uptime)
    {
        wire::Hello hello;
        hello.set_agent(name);
        hello.set_incarnation(incarnation);
        hello.set_uptime_ms(static_cast<std::uint64_t>(uptime.count()));
        this->coordinator.opened(session, hello, this->now);
        this->confirm();
    }

    void announce(control::SessionId session, const std::string &upstream, bool checks, std::uint64_t startedMs = 0)
    {
        wire::AgentMessage announce;
        announce.mutable_upstream()->set_service("catalogue");
        announce.mutable_upstream()->set_name(upstream);
        announce.mutable_upstream()->set_checks_grants(checks);
        announce.mutable_upstream()->set_serving(true);
        announce.mutable_upstream()->set_started_unix_ms(startedMs);
        if (startedMs != 0) {
            announce.mutable_upstream()->set_address("10.0.0.1:8080");
        }
        this->coordinator.received(session, announce, this->now);
        this->collect();
    }

    /** @return the lease granted to a heartbeat that is sent now */
    std::chrono::milliseconds renew(control::SessionId session)
    {
        wire::AgentMessage renew;
        renew.mutable_renew()->set_sequence(++this->sequence);
        this->coordinator.received(session, renew, this->now);
        // The confirmation round of a renewal begins at the tick.
        this->coordinator.tick(this->now);
        this->confirm();
        const wire::ControlMessage &last = this->sent[session].back();
        REQUIRE(last.renewed().sequence() == this->sequence);
        return std::chrono::milliseconds(last.renewed().lease_ms());
    }

    /** Advances time while the given sessions renew. */
    void advance(std::chrono::milliseconds time, const std::vector<control::SessionId> &renewing = {1, 2})
    {
        for (const BootTime end = this->now + time; this->now < end;) {
            this->now += 5ms;
            for (const control::SessionId session : renewing) {
                this->renew(session);
            }
            this->coordinator.tick(this->now);
            this->collect();
        }
    }

    std::size_t owned(const std::string &agent) const
    {
        const auto &slices = this->state.services().at("catalogue").slices();
        return static_cast<std::size_t>(std::count_if(slices.begin(), slices.end(), [&](const auto &slice) {
            const wire::UpstreamInfo *const owner = this->state.upstreams().find(slice.second.owner);
            return owner != nullptr && owner->agent() == agent;
        }));
    }

    bool proposesSlices() const
    {
        return std::any_of(this->proposals.begin(), this->proposals.end(), [](const control::ProposeAction &proposal) {
            return proposal.command.has_batch();
        });
    }

    /** Marks the upstream of agent a out of service. @return the slices that the agent is asked to release */
    wire::Revoke markOut()
    {
        wire::Command mark;
        mark.mutable_mark()->set_change_id("m");
        mark.mutable_mark()->set_kind(wire::MARK_KIND_UPSTREAM);
        mark.mutable_mark()->set_name("upstream-a");
        this->commit(mark);
        this->coordinator.tick(this->now);
        this->collect();
        return this->sent[1].back().revoke();
    }

    void release(control::SessionId session, const wire::Revoke &revoked)
    {
        wire::AgentMessage released;
        *released.mutable_released()->mutable_slices() = revoked.slices();
        this->coordinator.received(session, released, this->now);
        this->collect();
    }
};

} // namespace

// If the clock of the agent's VM runs slow, the agent uses its lease longer than the leader counts without a margin,
// and a key has two owners for those milliseconds.
TEST_CASE("control: slices are taken from a silent agent only after its lease and the drift margin")
{
    LeaderFixture fixture;
    fixture.renew(1);
    fixture.advance(Lease + Drift - 5ms, {2});
    REQUIRE_FALSE(fixture.proposesSlices());
    fixture.advance(5ms, {2});
    REQUIRE(fixture.proposesSlices());
}

// A frozen agent resumes between the decision to take its slices and the commit, and its heartbeat is answered at once.
// With a lease from that answer it would serve beside the new owner until it receives the commit.
TEST_CASE("control: an agent that returns while its slices are being taken gets no lease before the update")
{
    LeaderFixture fixture;
    fixture.advance(Lease + Drift + 10ms, {2});
    REQUIRE(fixture.proposesSlices());
    REQUIRE(fixture.renew(1) == 0ms);
    const std::size_t sentBefore = fixture.sent[1].size();
    fixture.commitAll();
    REQUIRE(fixture.owned("a") == 0);
    REQUIRE(fixture.renew(1) == Lease);
    REQUIRE(fixture.sent[1][sentBefore].has_update());
    REQUIRE(fixture.sent[1].back().has_renewed());
}

// A VM is replaced under its old name while the old one is frozen. Both would serve the same keys if the new process
// got a lease at once.
TEST_CASE("control: another process under an agent's name gets no lease before the one of its predecessor has ended")
{
    LeaderFixture fixture;
    fixture.renew(1);
    fixture.open(3, "a", "second");
    fixture.commitAll();
    REQUIRE(fixture.renew(3) == 0ms);
    fixture.advance(Lease + Drift - 5ms, {2, 3});
    REQUIRE(fixture.renew(3) == 0ms);
    fixture.advance(10ms, {2, 3});
    fixture.commitAll();
    REQUIRE(fixture.renew(3) == Lease);
    REQUIRE(fixture.owned("a") > 0);
}

// All agents are killed and restart at their addresses while their upstreams keep running. Every key would stay
// unserved for a whole lease, although the reuse of the address proves that the predecessor has exited.
TEST_CASE("control: where an address proves the end of the process before it, only one at a new address waits")
{
    control::CoordinatorSettings settings;
    settings.addressReuseProvesExit = true;
    LeaderFixture fixture(true, settings);
    fixture.renew(1);
    fixture.open(3, "a", "second");
    fixture.commitAll();
    REQUIRE(fixture.renew(3) == Lease);
    wire::Hello elsewhere;
    elsewhere.set_agent("b");
    elsewhere.set_incarnation("second");
    elsewhere.set_peer_address("10.0.0.99:1");
    fixture.renew(2);
    fixture.coordinator.opened(4, elsewhere, fixture.now);
    fixture.confirm();
    fixture.commitAll();
    REQUIRE(fixture.renew(4) == 0ms);
}

// An agent restarts while its upstream, which doesn't check grants, still runs requests. The new process knows of no
// work and sends Released at once; the next owner must wait until the old requests must have ended.
TEST_CASE("control: a restarted agent's Released counts only after the longest deadline since its start")
{
    LeaderFixture fixture(false);
    fixture.advance(Lease, {2});
    fixture.open(3, "a", "second", false);
    fixture.advance(Drift + 10ms, {2, 3});
    fixture.commitAll();
    fixture.advance(100ms, {2, 3});
    fixture.markOut();
    const wire::Revoke revoked = fixture.sent[3].back().revoke();
    REQUIRE(revoked.slices_size() > 0);
    fixture.release(3, revoked);
    REQUIRE_FALSE(fixture.proposesSlices());
    fixture.advance(Timeout - 120ms - Drift, {2, 3});
    REQUIRE_FALSE(fixture.proposesSlices());
    fixture.advance(60ms + Drift, {2, 3});
    REQUIRE(fixture.proposesSlices());
}

// A delayed Released of an older epoch arrives after the agent has been granted the slice again. It must not end the
// current ownership.
TEST_CASE("control: a Released counts only for the current epoch and from the owner's agent")
{
    LeaderFixture fixture;
    wire::Revoke revoked = fixture.markOut();
    REQUIRE(revoked.slices_size() > 0);
    fixture.release(2, revoked);
    REQUIRE_FALSE(fixture.proposesSlices());
    for (wire::SliceRef &slice : *revoked.mutable_slices()) {
        slice.set_epoch(slice.epoch() - 1);
    }
    fixture.release(1, revoked);
    REQUIRE_FALSE(fixture.proposesSlices());
    for (wire::SliceRef &slice : *revoked.mutable_slices()) {
        slice.set_epoch(slice.epoch() + 1);
    }
    fixture.release(1, revoked);
    REQUIRE(fixture.proposesSlices());
    fixture.commitAll();
    REQUIRE(fixture.owned("a") == 0);
}

// The session breaks while a Revoke is in flight. The agent doesn't receive it, so the move would wait for Released
// forever.
TEST_CASE("control: a Revoke is sent again on the next session")
{
    LeaderFixture fixture;
    const wire::Revoke revoked = fixture.markOut();
    fixture.coordinator.closed(1);
    fixture.open(3, "a", "first");
    const auto again =
        std::find_if(fixture.sent[3].begin(), fixture.sent[3].end(), [](const wire::ControlMessage &message) {
            return message.has_revoke();
        });
    REQUIRE(fixture.sent[3].front().has_accepted());
    REQUIRE(fixture.sent[3].at(1).update().full());
    REQUIRE(again != fixture.sent[3].end());
    REQUIRE(again->revoke().slices_size() == revoked.slices_size());
}

// Guards against agents that take a leader for a silent one while it sends full states to others.
TEST_CASE("control: a session that waits for the full state is accepted again whenever the leader is confirmed")
{
    LeaderFixture fixture;
    constexpr control::SessionId First = 10;
    constexpr control::SessionId Last = 60;
    for (control::SessionId session = First; session <= Last; ++session) {
        wire::Hello hello;
        hello.set_agent("agent-" + std::to_string(session));
        fixture.coordinator.opened(session, hello, fixture.now);
    }
    fixture.collect();
    const std::vector<wire::ControlMessage> &last = fixture.sent[Last];
    const auto isWaiting = [&last] {
        return std::none_of(last.begin(), last.end(), [](const wire::ControlMessage &message) {
            return message.has_update();
        });
    };
    REQUIRE(last.size() == 1);
    int rounds = 0;
    for (; isWaiting(); ++rounds) {
        const std::size_t before = last.size();
        fixture.now += 400ms;
        fixture.confirm();
        REQUIRE(last.size() == before + 1);
    }
    REQUIRE(rounds > 2);
}

// Guards against agents that wait for a leader that was replaced and doesn't know it.
TEST_CASE("control: a leader that no quorum confirms accepts a session once only")
{
    LeaderFixture fixture;
    wire::Hello hello;
    hello.set_agent("c");
    fixture.coordinator.opened(3, hello, fixture.now);
    for (int step = 0; step < 100; ++step) {
        fixture.now += 20ms;
        fixture.coordinator.tick(fixture.now);
        fixture.collect();
    }
    REQUIRE(fixture.sent[3].size() == 1);
    REQUIRE(fixture.sent[3].front().has_accepted());
}

// A replica that was partitioned for long and still acts as leader would send its old state to an agent that has newer
// state.
TEST_CASE("control: a leader behind what the agent has seen closes the session")
{
    LeaderFixture fixture;
    wire::Hello hello;
    hello.set_agent("c");
    hello.mutable_seen()->set_term(2);
    fixture.coordinator.opened(9, hello, fixture.now);
    const std::vector<control::Action> actions = fixture.coordinator.takeActions();
    REQUIRE(actions.size() == 1);
    REQUIRE(std::get<control::CloseAction>(actions[0]).session == 9);
}

// Requests are refused for four seconds after all VMs lost power, although every process runs again. The leader waits
// for upstreams that a restarted agent may still announce, although a new upstream at the same address proves that the
// old one has exited.
TEST_CASE("control: an upstream whose address a later process uses is retired without waiting")
{
    const bool sameAddress = GENERATE(true, false);
    control::CoordinatorSettings settings;
    settings.addressReuseProvesExit = true;
    settings.announceGrace = 3s;
    LeaderFixture fixture(true, settings);
    fixture.announce(1, "before", true, sameAddress ? 1000 : 0);
    fixture.commitAll();
    fixture.coordinator.closed(1);
    fixture.sendHello(3, "a", "second", 0ms);
    fixture.announce(3, "after", true, 2000);
    for (int round = 0; round < 4; ++round) {
        fixture.advance(50ms, {2, 3});
        fixture.commitAll();
    }
    CHECK(fixture.state.upstreams().find("catalogue", "after")->serving());
    CHECK(fixture.state.upstreams().find("catalogue", "before")->serving() == !sameAddress);
}

/*
 * After a loss of power an agent and its upstream restart together, the upstream as a new process at its old address.
 * The agent can't release the old process's keys, because it doesn't know the grants of its predecessor. The keys were
 * refused until those grants had expired, although the new process at that address can own them at once.
 */
TEST_CASE("control: a process that uses the address of an ended one gets its slices without a release")
{
    control::CoordinatorSettings settings;
    settings.addressReuseProvesExit = true;
    settings.announceGrace = 3s;
    settings.rebalanceDelay = 0ms;
    LeaderFixture fixture(true, settings);
    fixture.announce(1, "before", true, 1000);
    for (int round = 0; round < 20; ++round) {
        fixture.advance(200ms);
        fixture.commitAll();
        fixture.releaseAll(1);
        fixture.releaseAll(2);
        fixture.commitAll();
    }
    const std::map<std::uint64_t, std::uint64_t> owned = fixture.epochsOf("before");
    REQUIRE_FALSE(owned.empty());

    fixture.coordinator.closed(1);
    fixture.sendHello(3, "a", "second", 0ms);
    fixture.announce(3, "upstream-a", true);
    fixture.announce(3, "after", true, 2000);
    for (int round = 0; round < 4; ++round) {
        fixture.advance(50ms, {2, 3});
        fixture.commitAll();
    }
    CHECK(fixture.epochsOf("before").empty());
    const std::map<std::uint64_t, std::uint64_t> reassigned = fixture.epochsOf("after");
    for (const auto &[begin, epoch] : owned) {
        REQUIRE(reassigned.contains(begin));
        CHECK(reassigned.at(begin) == epoch + 1);
    }
}

// Guards against an upstream that is overrun, or used while it leaves, because the agent beside it has restarted.
TEST_CASE("control guard: what an upstream has stated stays registered when the agent beside it restarts")
{
    LeaderFixture leader;
    const auto announce = [&](control::SessionId session, double rateLimit, bool isLeaving) {
        wire::AgentMessage message;
        wire::UpstreamInfo &upstream = *message.mutable_upstream();
        upstream.set_service("catalogue");
        upstream.set_name("upstream-a");
        upstream.set_serving(!isLeaving);
        upstream.set_leaving(isLeaving);
        upstream.set_rate_limit(rateLimit);
        leader.coordinator.received(session, message, leader.now);
        // A restarted agent may change the record only once its predecessor can hold no lease.
        for (int round = 0; round < 10; ++round) {
            leader.advance(200ms, {session});
            leader.commitAll();
        }
    };
    const auto registered = [&] {
        return *leader.state.upstreams().find("catalogue", "upstream-a");
    };
    announce(1, 12.5, false);
    REQUIRE(registered().rate_limit() == 12.5);
    leader.coordinator.closed(1);
    leader.sendHello(3, "a", "second", 10s);
    announce(3, -1, false);
    CHECK(registered().rate_limit() == 12.5);
    CHECK(registered().serving());
    announce(3, 0, true);
    CHECK(registered().rate_limit() == 0);
    leader.coordinator.closed(3);
    leader.sendHello(4, "a", "third", 10s);
    announce(4, -1, false);
    CHECK(registered().leaving());
    CHECK_FALSE(registered().serving());
}
