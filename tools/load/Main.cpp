#include "Report.h"

#include <fstream>
#include <iostream>
#include <thread>

using namespace bergamotweir;
using namespace bergamotweir::load;

namespace {

constexpr int FaultyExitCode = 1;
constexpr int BadInputExitCode = 2;

int fail(const Findings &findings)
{
    std::cerr << toText(findings);
    return BadInputExitCode;
}

void writeOutcomes(const std::string &path, const Generator &generator)
{
    std::ofstream file(path);
    for (const Outcome &outcome : generator.outcomes) {
        const auto microsecondsSinceStart = [&](BootTime time) {
            return std::chrono::duration_cast<std::chrono::microseconds>(time - generator.startedAt).count();
        };
        file << nlohmann::json{{"test_id", generator.testId(outcome)},
                               {"kind", toText(outcome.kind)},
                               {"key", outcome.key},
                               {"status", outcome.status},
                               {"verdict", toText(outcome.verdict)},
                               {"intended_us", microsecondsSinceStart(outcome.intendedAt)},
                               {"ended_us", microsecondsSinceStart(outcome.endedAt)}}
             << '\n';
    }
}

} // namespace

int main(int argc, char **argv)
{
    const Result<LoadSettings> parsed = parseSettings(argc, argv);
    if (!parsed) {
        return fail(parsed.error());
    }
    const LoadSettings &settings = parsed.value();
    const std::unique_ptr<loop::EventLoop> loop = loop::EventLoop::create().value();
    Generator generator(*loop, settings, [&] {
        loop->stop();
    });
    generator.start();
    loop->run();

    nlohmann::json report = summarise(generator.outcomes, settings, generator.startedAt);
    if (!settings.outcomes.empty()) {
        writeOutcomes(settings.outcomes, generator);
    }
    bool isFaulty = report["verdicts"].contains(toText(Verdict::Wrong));
    if (!settings.ledgers.empty()) {
        std::this_thread::sleep_for(settings.settle);
        const auto executions = readLedgers(settings.ledgers);
        if (!executions) {
            return fail(executions.error());
        }
        const LedgerVerdict verdict = compare(generator.outcomes, executions.value(), [&](const Outcome &outcome) {
            return generator.testId(outcome);
        });
        addLedger(report, verdict);
        isFaulty = isFaulty || verdict.lost + verdict.duplicated + verdict.falseRefusals > 0;
    }
    std::cout << report.dump(2) << '\n';
    return isFaulty ? FaultyExitCode : 0;
}
