#pragma once

#include "FakeAgent.h"
#include "control/Coordinator.h"
#include "control/State.h"

#include <deque>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <set>

namespace bergamotweir::test {

/** A fault or change that a run can inject. */
enum class Fault {
    None,
    KillAgent,
    RestartAgent,
    FreezeAgent,
    PartitionAgent,
    CrashUpstream,
    DrainUpstream,
    MarkOut,
    MarkIn,
    ChangeLeader,
    DelayNetwork
};

/** Work that an upstream is running on a key. */
struct FakeWork {
    std::size_t agent = 0;
    unsigned agentStart = 0;
    std::uint64_t hash = 0;
    BootTime endsAt;
};

/**
 * Simulates leaders and agents with a fake clock, network and log. The seed determines the whole run.
 * Checks after each step that no key has two owners or is worked on by two upstreams.
 */
class ControlSimulation
{
public:
    static constexpr std::chrono::milliseconds Step{5};
    static constexpr std::chrono::milliseconds Timeout{300};

    /** @param checksGrants whether upstreams check grants; by default every second one does */
    ControlSimulation(std::uint64_t seed, std::size_t agentCount, std::optional<bool> checksGrants = {});

    /** Advances time, and injects @p fault at the @p atEvent -th event from now. */
    void run(std::chrono::milliseconds time, Fault fault = Fault::None, std::uint64_t atEvent = 0);
    /** Injects a fault now, into an agent that the seed chooses unless one is given. */
    void inject(Fault fault, std::optional<std::size_t> agent = {});
    /** Ends every lasting fault. */
    void heal();

    /** @return true when each key has been served recently */
    bool allServed() const;
    /** @return the number of sampled keys that an agent serves */
    std::size_t served(std::size_t agent) const;
    /** @return the number of slices that an agent's upstream owns in the replicated state */
    std::size_t slices(std::size_t agent) const;
    const control::State &state() const
    {
        return this->leaders.back()->state;
    }
    const control::Coordinator &coordinator() const
    {
        return this->leaders.back()->coordinator;
    }
    void propose(const wire::Command &command);

    /** The violated invariant; empty while all hold. */
    std::string violation;
    /** Longest time in which a key was not served, since this value was last reset. */
    std::chrono::nanoseconds maxServiceGap{0};
    std::uint64_t events = 0;
    BootTime now{std::chrono::seconds(1000)};
    std::vector<FakeAgent> agents;

private:
    struct Leader {
        explicit Leader(std::uint64_t term)
            : term(term)
        {
        }
        std::uint64_t term;
        /** When a quorum elected the next one. */
        std::optional<BootTime> deposedAt;
        control::State state;
        control::Coordinator coordinator{control::CoordinatorSettings{}, this->state};
    };
    struct Message {
        BootTime dueAt;
        std::size_t leader = 0;
        std::uint64_t session = 0;
        std::size_t agent = 0;
        std::optional<wire::AgentMessage> toLeader;
        std::shared_ptr<const wire::ControlMessage> toAgent;
        bool closes = false;
    };
    struct Pending {
        BootTime dueAt;
        BootTime acknowledgedAt;
        std::size_t leader = 0;
        std::uint64_t proposal = 0;
        std::optional<wire::Command> command;
    };

    std::chrono::milliseconds delay();
    void post(Message message);
    void recordEvent();
    void takeActions(std::size_t leader);
    void commit(std::size_t leader, std::uint64_t proposal, const wire::Command &command);
    void endPending();
    void deliver();
    void deliverToLeader(const Message &message);
    void deliverToAgent(const Message &message);
    void stepAgent(std::size_t number);
    void sendToLeader(FakeAgent &agent, wire::AgentMessage message);
    void work(std::size_t number);
    void announce(FakeAgent &agent);
    void changeLeader();
    void check();

    pcg32 random;
    std::vector<std::unique_ptr<Leader>> leaders;
    std::vector<std::pair<wire::Version, wire::Command>> log;
    std::deque<Message> network;
    std::map<std::pair<std::uint64_t, bool>, BootTime> lastDueAt;
    std::vector<Pending> pending;
    std::vector<FakeWork> workInProgress;
    std::vector<std::uint64_t> hashes;
    std::vector<BootTime> lastServedAt;
    std::uint64_t lastSession = 0;
    std::uint64_t lastChange = 0;
    std::chrono::milliseconds extraDelay{0};
    Fault plannedFault = Fault::None;
    std::uint64_t plannedEvent = 0;
};

} // namespace bergamotweir::test
