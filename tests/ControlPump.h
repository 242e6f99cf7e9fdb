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

/** What a run may do beside time passing. */
enum class Fault {
    None,
    KillAgent,
    RestartAgent,
    FreezeAgent,
    CutAgent,
    CrashUpstream,
    DrainUpstream,
    MarkOut,
    MarkIn,
    ChangeLeader,
    DelayNetwork
};

/** Work that an upstream runs on a key. */
struct FakeWork {
    std::size_t agent = 0;
    unsigned agentStart = 0;
    std::uint64_t hash = 0;
    BootTime endsAt;
};

/**
 * Drives leaders and agents through fake time, network and log. One seed decides everything.
 * After each step it checks that no key has two owners or is worked on by two upstreams.
 */
class ControlPump
{
public:
    static constexpr std::chrono::milliseconds Step{5};
    static constexpr std::chrono::milliseconds Timeout{300};

    /** @param agentCount agents; every second one's upstream checks grants unless @p checks says for all */
    ControlPump(std::uint64_t seed, std::size_t agentCount, std::optional<bool> checks = {});

    /** Lets time pass, with @p fault at the moment the @p atEvent -th event from now happens. */
    void run(std::chrono::milliseconds time, Fault fault = Fault::None, std::uint64_t atEvent = 0);
    /** Does a fault now, to an agent of the seed's choice unless one is named. */
    void inject(Fault fault, std::optional<std::size_t> agent = {});
    /** Ends every lasting fault. */
    void heal();

    /** @return true when each key has been served lately */
    bool allServed() const;
    /** @return how many keys an agent serves */
    std::size_t served(std::size_t agent) const;
    /** @return how many slices the log gives to an agent's upstream */
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

    /** The first broken invariant, empty while all hold. */
    std::string broken;
    /** Longest time in which a key was not served, since it was last cleared. */
    std::chrono::nanoseconds longestGap{0};
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
        std::optional<BootTime> deposed;
        control::State state;
        control::Coordinator coordinator{control::CoordinatorSettings{}, this->state};
    };
    struct Message {
        BootTime due;
        std::size_t leader = 0;
        std::uint64_t session = 0;
        std::size_t agent = 0;
        std::optional<wire::AgentMessage> up;
        std::shared_ptr<const wire::ControlMessage> down;
        bool closes = false;
    };
    struct Pending {
        BootTime due;
        BootTime acknowledged;
        std::size_t leader = 0;
        std::uint64_t proposal = 0;
        std::optional<wire::Command> command;
    };

    std::chrono::milliseconds delay();
    void post(Message message);
    void event();
    void takeActions(std::size_t leader);
    void commit(std::size_t leader, std::uint64_t proposal, const wire::Command &command);
    void endPending();
    void deliver();
    void deliverUp(const Message &message);
    void deliverDown(const Message &message);
    void stepAgent(std::size_t number);
    void sendUp(FakeAgent &agent, wire::AgentMessage message);
    void work(std::size_t number);
    void announce(FakeAgent &agent);
    void changeLeader();
    void check();

    pcg32 random;
    std::vector<std::unique_ptr<Leader>> leaders;
    std::vector<std::pair<wire::Version, wire::Command>> log;
    std::deque<Message> network;
    std::map<std::pair<std::uint64_t, bool>, BootTime> lastDue;
    std::vector<Pending> pending;
    std::vector<FakeWork> works;
    std::vector<std::uint64_t> hashes;
    std::vector<BootTime> lastServed;
    std::uint64_t lastSession = 0;
    std::uint64_t lastChange = 0;
    std::chrono::milliseconds extraDelay{0};
    Fault planned = Fault::None;
    std::uint64_t plannedAt = 0;
};

} // namespace bergamotweir::test
