#include "LedgerCheck.h"

#include <nlohmann/json.hpp>

#include <fstream>

namespace bergamotweir::load {

namespace {

constexpr std::size_t MaxExamples = 10;

void addExample(LedgerVerdict &verdict, const std::string &id, const char *what)
{
    if (verdict.examples.size() < MaxExamples) {
        verdict.examples.push_back(id + " " + what);
    }
}

} // namespace

Result<std::unordered_map<std::string, unsigned>> readLedgers(const std::vector<std::string> &files)
{
    std::unordered_map<std::string, unsigned> executions;
    Findings findings;
    for (const std::string &file : files) {
        std::ifstream stream(file);
        if (!stream) {
            findings.push_back({file, "the ledger cannot be read", ""});
        }
        for (std::string line; std::getline(stream, line);) {
            const nlohmann::json entry = nlohmann::json::parse(line, nullptr, false);
            if (entry.is_object() && entry.contains("run")) {
                ++executions[entry.value("test_id", std::string())];
            }
        }
    }
    if (!findings.empty()) {
        return findings;
    }
    return executions;
}

LedgerVerdict compare(const std::deque<Outcome> &outcomes,
                      const std::unordered_map<std::string, unsigned> &executions,
                      const std::function<std::string(const Outcome &)> &testId)
{
    LedgerVerdict verdict;
    for (const Outcome &outcome : outcomes) {
        const std::string id = testId(outcome);
        const auto found = executions.find(id);
        const unsigned runs = found == executions.end() ? 0 : found->second;
        verdict.executions += runs;
        if (outcome.kind == Kind::KeyedPost && runs > 1) {
            ++verdict.duplicated;
            addExample(verdict, id, "ran more than once");
        }
        const bool acknowledged = outcome.verdict == Verdict::Answered || outcome.secondVerdict == Verdict::Answered;
        if (acknowledged && runs == 0) {
            ++verdict.lost;
            addExample(verdict, id, "was acknowledged and never ran");
        }
        // A resent request has two outcomes: Request-Ran: no is correct for one when only the other ran.
        if (outcome.verdict == Verdict::RefusedNo && !outcome.isResent && runs > 0) {
            ++verdict.falseRefusals;
            addExample(verdict, id, "ran and its caller was told no");
        }
    }
    return verdict;
}

} // namespace bergamotweir::load
