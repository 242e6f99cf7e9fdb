#include "control/State.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <map>
#include <set>

using namespace bergamotweir;

namespace {

/** A log that loses proposals before they are committed and answers after it, and restarts from its snapshot. */
struct LossyLog {
    explicit LossyLog(std::uint64_t seed)
        : random(seed)
    {
    }

    /** @return the answer, or nothing when it was lost; the command may have been committed in either case */
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

/** One attempt to run a request under an Idempotency-Key, by an agent that may crash at any step. */
struct Attempt {
    std::string name;
    bool isGranted = false;
    bool hasRun = false;
    bool isFinished = false;
};

void step(Attempt &attempt, LossyLog &log)
{
    if (attempt.isFinished) {
        return;
    }
    wire::Command command;
    if (!attempt.isGranted) {
        command.mutable_claim()->set_idempotency_key("sweep-7");
        command.mutable_claim()->set_attempt(attempt.name);
        const auto answer = log.propose(command);
        attempt.isGranted = answer && answer->claim().verdict() == wire::CLAIM_VERDICT_GRANTED;
        attempt.isFinished = answer && !attempt.isGranted;
    } else if (!attempt.hasRun && log.random(3) == 0) {
        // The owner could not be reached: the claim is released, since the request certainly did not run.
        command.mutable_claim_outcome()->set_released(true);
    } else {
        attempt.hasRun = true;
        command.mutable_claim_outcome()->set_status(200);
    }
    if (command.has_claim_outcome()) {
        command.mutable_claim_outcome()->set_idempotency_key("sweep-7");
        command.mutable_claim_outcome()->set_attempt(attempt.name);
        const auto answer = log.propose(command);
        attempt.isFinished = attempt.hasRun ? answer.has_value() : true;
    }
    attempt.isFinished = attempt.isFinished || log.random(8) == 0;
}

} // namespace

// Guards against a payment that runs twice. The same request is resent through several agents while claims and answers
// get lost, agents crash between claim, dispatch and record, leaders change and the control group restarts.
TEST_CASE("claims: at most one attempt runs, whichever messages get lost")
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
            if (attempt.hasRun) {
                ran.insert(attempt.name);
            }
        }
        REQUIRE(ran.size() <= 1);
        runs += ran.size();
    }
    REQUIRE(runs > 100);
}

// Operators make concurrent changes from the same version and resend a change when its answer is lost. An acknowledged
// change must be in the history exactly once, and table versions must neither repeat nor decrease.
TEST_CASE("table: with concurrent operators and lost answers, no acknowledged change is lost and none is applied twice")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        LossyLog log(seed);
        std::map<std::string, std::uint64_t> acknowledged;
        std::set<std::string> refused;
        std::vector<wire::Command> pendingChanges(3);
        std::uint64_t lastVersion = 0;
        for (int round = 0; round < 60; ++round) {
            wire::Command &change = pendingChanges[log.random(3)];
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
                // Any other number would mean that a change unknown to the author was undone.
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
