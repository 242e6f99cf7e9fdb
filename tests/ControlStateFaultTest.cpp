#include "control/State.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <map>
#include <set>

using namespace bergamotweir;

namespace {

/** A log that loses proposals before, and answers after, they are committed, and restarts from its snapshot. */
struct LossyLog {
    explicit LossyLog(std::uint64_t seed)
        : random(seed)
    {
    }

    /** @return the answer, or nothing when it was lost; the command may have been committed all the same */
    std::optional<wire::CommandResult> propose(const wire::Command &command)
    {
        if (this->random(4) == 0) {
            return std::nullopt;
        }
        wire::Version version;
        version.set_term(1 + this->index / 10);
        version.set_index(++this->index);
        const control::Applied applied = this->state.apply(version, command);
        if (this->random(6) == 0) {
            control::State restarted;
            REQUIRE(restarted.restore(this->state.snapshot()));
            this->state = restarted;
        }
        if (this->random(3) == 0) {
            return std::nullopt;
        }
        return applied.result;
    }

    pcg32 random;
    control::State state;
    std::uint64_t index = 0;
};

/** One attempt to run a request under an Idempotency-Key, by an agent that may die at any step. */
struct Attempt {
    std::string name;
    bool granted = false;
    bool ran = false;
    bool gone = false;
};

void step(Attempt &attempt, LossyLog &log)
{
    if (attempt.gone) {
        return;
    }
    wire::Command command;
    if (!attempt.granted) {
        command.mutable_claim()->set_idempotency_key("sweep-7");
        command.mutable_claim()->set_attempt(attempt.name);
        const auto answer = log.propose(command);
        attempt.granted = answer && answer->claim().verdict() == wire::CLAIM_VERDICT_GRANTED;
        attempt.gone = answer && !attempt.granted;
    } else if (!attempt.ran && log.random(3) == 0) {
        // The owner could not be reached: given back, since it surely did not run.
        command.mutable_claim_outcome()->set_released(true);
    } else {
        attempt.ran = true;
        command.mutable_claim_outcome()->set_status(200);
    }
    if (command.has_claim_outcome()) {
        command.mutable_claim_outcome()->set_idempotency_key("sweep-7");
        command.mutable_claim_outcome()->set_attempt(attempt.name);
        const auto answer = log.propose(command);
        attempt.gone = attempt.ran ? answer.has_value() : true;
    }
    attempt.gone = attempt.gone || log.random(8) == 0;
}

} // namespace

// A treasurer's sweep is sent again and again through several agents; claims and answers get lost, agents die between
// claim, dispatch and record, leaders change and the group restarts. The money must move at most once.
TEST_CASE("claims: whatever gets lost, at most one attempt runs")
{
    std::size_t runs = 0;
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        INFO("seed " << seed);
        LossyLog log(seed);
        std::vector<Attempt> attempts(6);
        for (std::size_t number = 0; number < attempts.size(); ++number) {
            attempts[number].name = "attempt-" + std::to_string(number);
        }
        std::set<std::string> ran;
        for (int round = 0; round < 60; ++round) {
            Attempt &attempt = attempts[log.random(static_cast<std::uint32_t>(attempts.size()))];
            step(attempt, log);
            if (attempt.ran) {
                ran.insert(attempt.name);
            }
        }
        REQUIRE(ran.size() <= 1);
        runs += ran.size();
    }
    REQUIRE(runs > 100);
}

// Operators race one another from the same version and send a change again when its answer is lost. An acknowledged
// change must be in the history once, whoever raced it, and no version may come twice or go back.
TEST_CASE("table: racing operators and lost answers lose no acknowledged change and apply none twice")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        LossyLog log(seed);
        std::map<std::string, std::uint64_t> acknowledged;
        std::set<std::string> refused;
        std::vector<wire::Command> open(3);
        std::uint64_t lastVersion = 0;
        for (int round = 0; round < 60; ++round) {
            wire::Command &change = open[log.random(3)];
            if (!change.has_put_table()) {
                change.mutable_put_table()->set_change_id("change-" + std::to_string(round));
                change.mutable_put_table()->set_base_version(log.state.tables().tableVersion());
                change.mutable_put_table()->set_csv("service,weight\ncatalogue," + std::to_string(1 + round) + "\n");
            }
            const auto answer = log.propose(change);
            REQUIRE(log.state.tables().tableVersion() >= lastVersion);
            REQUIRE(log.state.tables().tableVersion() <= lastVersion + 1);
            lastVersion = log.state.tables().tableVersion();
            if (!answer) {
                continue;
            }
            const wire::OperatorReply &reply = answer->operator_reply();
            if (reply.status() == wire::OPERATOR_STATUS_DONE) {
                // Any other number would have undone a change that its author never saw.
                REQUIRE(reply.table_version() == change.put_table().base_version() + 1);
                acknowledged[change.put_table().change_id()] = reply.table_version();
            } else {
                refused.insert(change.put_table().change_id());
            }
            change.Clear();
        }
        std::map<std::string, std::uint64_t> kept;
        for (const wire::HistoryEntry &entry : log.state.tables().history(1000)) {
            REQUIRE(kept.emplace(entry.change_id(), entry.table_version()).second);
            REQUIRE_FALSE(refused.contains(entry.change_id()));
        }
        REQUIRE(kept.size() == lastVersion);
        for (const auto &[change, version] : acknowledged) {
            REQUIRE(kept.at(change) == version);
        }
    }
}
