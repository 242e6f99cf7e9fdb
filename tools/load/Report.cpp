#include "Report.h"

#include <algorithm>
#include <map>

namespace bergamotweir::load {

namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

struct Sums {
    std::map<std::string, std::uint64_t> verdicts;
    std::vector<std::int64_t> latencies;
    std::uint64_t sent = 0;
};

json percentiles(std::vector<std::int64_t> values)
{
    if (values.empty()) {
        return json::object();
    }
    std::sort(values.begin(), values.end());
    const auto at = [&](double share) {
        const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size()));
        return values[std::min(index, values.size() - 1)];
    };
    return {{"p50", at(0.5)}, {"p90", at(0.9)}, {"p99", at(0.99)}, {"p999", at(0.999)}, {"max", values.back()}};
}

json toJson(const Sums &sums)
{
    json verdicts = json::object();
    for (const auto &[name, count] : sums.verdicts) {
        verdicts[name] = count;
    }
    return {{"sent", sums.sent}, {"verdicts", verdicts}, {"latency_us", percentiles(sums.latencies)}};
}

void add(Sums &sums, const Outcome &outcome)
{
    ++sums.sent;
    ++sums.verdicts[toText(outcome.verdict)];
    if (outcome.verdict == Verdict::Answered) {
        sums.latencies.push_back(duration_cast<microseconds>(outcome.ended - outcome.intended).count());
    }
}

/** Unavailable time of one key group: from one answer to the next, counted only where something was asked between. */
struct Gap {
    BootTime lastAnswer;
    milliseconds longest{0};
    bool failedSince = false;
};

json longestGaps(const std::deque<Outcome> &outcomes, const LoadSettings &settings, BootTime begun)
{
    std::vector<const Outcome *> byEnd;
    for (const Outcome &outcome : outcomes) {
        if (outcome.kind != Kind::UnkeyedGet && outcome.verdict != Verdict::Pending) {
            byEnd.push_back(&outcome);
        }
    }
    std::sort(byEnd.begin(), byEnd.end(), [](const Outcome *left, const Outcome *right) {
        return left->ended < right->ended;
    });
    std::vector<Gap> gaps(settings.keyGroups, Gap{.lastAnswer = begun});
    for (const Outcome *outcome : byEnd) {
        Gap &gap = gaps[outcome->key % settings.keyGroups];
        if (outcome->verdict != Verdict::Answered) {
            gap.failedSince = true;
            continue;
        }
        if (gap.failedSince) {
            gap.longest = std::max(gap.longest, duration_cast<milliseconds>(outcome->ended - gap.lastAnswer));
        }
        gap.failedSince = false;
        gap.lastAnswer = outcome->ended;
    }
    milliseconds longest{0};
    unsigned interrupted = 0;
    unsigned unanswered = 0;
    for (const Gap &gap : gaps) {
        longest = std::max(longest, gap.longest);
        interrupted += gap.longest.count() > 0 || gap.failedSince ? 1 : 0;
        unanswered += gap.failedSince ? 1 : 0;
    }
    return {{"longest_ms", longest.count()},
            {"groups", settings.keyGroups},
            {"interrupted_groups", interrupted},
            {"groups_without_answer_at_end", unanswered}};
}

} // namespace

json summarise(const std::deque<Outcome> &outcomes, const LoadSettings &settings, BootTime begun)
{
    Sums all;
    std::map<std::string, Sums> kinds;
    std::map<std::string, std::uint64_t> statuses;
    std::map<std::string, std::uint64_t> second;
    const BootTime from = begun + settings.warmUp;
    for (const Outcome &outcome : outcomes) {
        if (outcome.intended < from) {
            continue;
        }
        add(all, outcome);
        add(kinds[toText(outcome.kind)], outcome);
        ++statuses[std::to_string(outcome.status)];
        if (outcome.resent) {
            ++second[toText(outcome.second)];
        }
    }
    json report = toJson(all);
    for (const auto &[name, sums] : kinds) {
        report["kinds"][name] = toJson(sums);
    }
    const double seconds = std::chrono::duration<double>(settings.duration - settings.warmUp).count();
    report["sent_whole"] = outcomes.size();
    report["statuses"] = statuses;
    report["second_sends"] = second;
    report["answered_per_second"] = static_cast<double>(all.latencies.size()) / seconds;
    report["unavailable"] = longestGaps(outcomes, settings, begun);
    return report;
}

void addLedger(json &report, const LedgerVerdict &verdict)
{
    report["ledger"] = {{"executions", verdict.executions},
                        {"lost", verdict.lost},
                        {"doubled", verdict.doubled},
                        {"untrue_no", verdict.untrueNo},
                        {"examples", verdict.examples}};
}

} // namespace bergamotweir::load
