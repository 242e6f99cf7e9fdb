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
        sums.latencies.push_back(duration_cast<microseconds>(outcome.endedAt - outcome.intendedAt).count());
    }
}

/** Unavailability of one key group: the time between two answers, counted only when a request between them failed. */
struct Gap {
    BootTime lastAnswerAt;
    milliseconds longest{0};
    bool hasFailedSince = false;
};

json longestGaps(const std::deque<Outcome> &outcomes, const LoadSettings &settings, BootTime startedAt)
{
    std::vector<const Outcome *> orderedByEnd;
    for (const Outcome &outcome : outcomes) {
        if (outcome.kind != Kind::UnkeyedGet && outcome.verdict != Verdict::Pending) {
            orderedByEnd.push_back(&outcome);
        }
    }
    std::sort(orderedByEnd.begin(), orderedByEnd.end(), [](const Outcome *left, const Outcome *right) {
        return left->endedAt < right->endedAt;
    });
    std::vector<Gap> gaps(settings.keyGroups, Gap{.lastAnswerAt = startedAt});
    for (const Outcome *outcome : orderedByEnd) {
        Gap &gap = gaps[outcome->key % settings.keyGroups];
        if (outcome->verdict != Verdict::Answered) {
            gap.hasFailedSince = true;
            continue;
        }
        if (gap.hasFailedSince) {
            gap.longest = std::max(gap.longest, duration_cast<milliseconds>(outcome->endedAt - gap.lastAnswerAt));
        }
        gap.hasFailedSince = false;
        gap.lastAnswerAt = outcome->endedAt;
    }
    milliseconds longest{0};
    unsigned interrupted = 0;
    unsigned unanswered = 0;
    for (const Gap &gap : gaps) {
        longest = std::max(longest, gap.longest);
        interrupted += gap.longest.count() > 0 || gap.hasFailedSince ? 1 : 0;
        unanswered += gap.hasFailedSince ? 1 : 0;
    }
    return {{"longest_ms", longest.count()},
            {"groups", settings.keyGroups},
            {"interrupted_groups", interrupted},
            {"groups_without_answer_at_end", unanswered}};
}

} // namespace

json summarise(const std::deque<Outcome> &outcomes, const LoadSettings &settings, BootTime startedAt)
{
    Sums all;
    std::map<std::string, Sums> kinds;
    std::map<std::string, std::uint64_t> statuses;
    std::map<std::string, std::uint64_t> secondVerdicts;
    const BootTime measuredFrom = startedAt + settings.warmUp;
    for (const Outcome &outcome : outcomes) {
        if (outcome.intendedAt < measuredFrom) {
            continue;
        }
        add(all, outcome);
        add(kinds[toText(outcome.kind)], outcome);
        ++statuses[std::to_string(outcome.status)];
        if (outcome.isResent) {
            ++secondVerdicts[toText(outcome.secondVerdict)];
        }
    }
    json report = toJson(all);
    for (const auto &[name, sums] : kinds) {
        report["kinds"][name] = toJson(sums);
    }
    const double seconds = std::chrono::duration<double>(settings.duration - settings.warmUp).count();
    report["sent_whole"] = outcomes.size();
    report["statuses"] = statuses;
    report["second_sends"] = secondVerdicts;
    report["answered_per_second"] = static_cast<double>(all.latencies.size()) / seconds;
    report["unavailable"] = longestGaps(outcomes, settings, startedAt);
    return report;
}

void addLedger(json &report, const LedgerVerdict &verdict)
{
    report["ledger"] = {{"executions", verdict.executions},
                        {"lost", verdict.lost},
                        {"doubled", verdict.duplicated},
                        {"untrue_no", verdict.falseRefusals},
                        {"examples", verdict.examples}};
}

} // namespace bergamotweir::load
