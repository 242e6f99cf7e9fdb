#include "agent/RequestStep.h"
#include "agent/RetryBudget.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>

using namespace bergamotweir;
using namespace bergamotweir::agent;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr BootTime Start{std::chrono::seconds(100)};

const std::map<std::string, EventKind> Events{{"accepted", EventKind::Accepted},
                                              {"found-quarantined", EventKind::FoundQuarantined},
                                              {"claim", EventKind::ClaimAnswered},
                                              {"routed", EventKind::Routed},
                                              {"woken", EventKind::Woken},
                                              {"admitted", EventKind::Admitted},
                                              {"ended", EventKind::AttemptEnded},
                                              {"hedge-due", EventKind::HedgeDue},
                                              {"deadline", EventKind::DeadlinePassed},
                                              {"caller-gone", EventKind::CallerDisconnected}};

const std::map<std::string, ClaimAnswer> Claims{{"granted", ClaimAnswer::Granted},
                                                {"in-progress", ClaimAnswer::InProgress},
                                                {"recorded", ClaimAnswer::Recorded},
                                                {"unknown", ClaimAnswer::Unknown}};

std::string ranText(Ran ran)
{
    return ran == Ran::No ? "no" : ran == Ran::Yes ? "yes" : "unknown";
}

std::string recordText(ClaimResolution resolution)
{
    return resolution == ClaimResolution::Released   ? "released"
           : resolution == ClaimResolution::Answered ? "answered"
                                                     : "unknown";
}

/** @return the action in the form used in traces, such as "forward 2" or "refuse 504 unknown" */
std::string text(const RequestAction &action)
{
    const std::string attempt = " " + std::to_string(action.attempt);
    switch (action.kind) {
    case ActionKind::Claim:
        return "claim";
    case ActionKind::Route:
        return "route";
    case ActionKind::Wait:
        return "wait";
    case ActionKind::EnterGate:
        return "enter-gate" + attempt;
    case ActionKind::Dispatch:
        return "dispatch" + attempt;
    case ActionKind::Forward:
        return "forward" + attempt;
    case ActionKind::Cancel:
        return "cancel" + attempt;
    case ActionKind::ArmHedge:
        return "arm-hedge";
    case ActionKind::Relay:
        return "relay" + attempt;
    case ActionKind::RelayRecorded:
        return "relay-recorded";
    case ActionKind::Refuse:
        return "refuse " + std::to_string(action.refusal.status) + " " + ranText(action.refusal.ran);
    case ActionKind::Record:
        return "record " + recordText(action.claimResolution);
    }
    return "";
}

RequestEvent readEvent(const json &line)
{
    RequestEvent event;
    event.kind = Events.at(line.at("event"));
    event.claim = Claims.at(line.value("claim", "unknown"));
    event.upstream = line.value("upstream", 0U);
    event.local = line.value("local", false);
    event.attempt = line.value("attempt", 0U);
    event.outcome = attemptOutcomeFromText(line.value("end", "answered")).value();
    event.mayHaveRun = line.value("may_have_run", false);
    return event;
}

RequestFacts readFacts(const json &facts)
{
    RequestFacts read;
    read.service = "trace";
    read.method = facts.at("method");
    read.keyed = facts.value("keyed", false);
    read.claimed = facts.value("claimed", false);
    read.forwarded = facts.value("forwarded", false);
    read.deadline = Start + milliseconds(facts.at("timeout_ms"));
    return read;
}

/** Replays one trace and requires the actions recorded for each of its events. */
void replay(const std::filesystem::path &file)
{
    const json trace = json::parse(std::ifstream(file));
    RequestState state;
    state.facts = readFacts(trace.at("facts"));
    RetryBudget retries;
    RetryBudget hedges;
    pcg32 random(trace.at("seed").get<std::uint64_t>());
    unsigned number = 0;
    for (const json &line : trace.at("events")) {
        INFO(file.filename().string() << ", event " << ++number);
        const BootTime now = Start + milliseconds(line.at("at_ms"));
        std::vector<std::string> actions;
        for (const RequestAction &action : step(state, readEvent(line), now, {&retries, &hedges, &random})) {
            actions.push_back(text(action));
        }
        REQUIRE(actions == line.at("then").get<std::vector<std::string>>());
    }
}

} // namespace

TEST_CASE("recorded requests are replayed and give the recorded actions")
{
    unsigned traces = 0;
    for (const auto &entry : std::filesystem::directory_iterator(std::string(TEST_DATA_FOLDER) + "/traces")) {
        if (entry.path().filename().string().starts_with("request-")) {
            replay(entry.path());
            traces++;
        }
    }
    REQUIRE(traces >= 5);
}
