#include "Property.h"
#include "cli/Command.h"
#include "cli/ProcessSettings.h"
#include "cli/ReadSettings.h"
#include "cli/ReplicaList.h"
#include "cli/Values.h"
#include "report/BurnReport.h"
#include "report/BurnState.h"
#include "table/Table.h"

#include <cmath>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 20261203;
constexpr int Runs = 2000;

/** Generates a word of a command line: a flag, a value that some setting accepts, or an arbitrary string. */
std::string arbitraryWord()
{
    const std::vector<std::string> typicalWords{"--control",
                                                "--agent-name",
                                                "--caller-port=1",
                                                "--json",
                                                "--base",
                                                "--replicas",
                                                "--",
                                                "-",
                                                "--wait=",
                                                "7",
                                                "127.0.0.1:7001",
                                                "current",
                                                "bne-a",
                                                "--seed",
                                                "-h",
                                                "c1=1.2.3.4:5/6,,",
                                                "99999999999",
                                                "\xff\xfe",
                                                "--c",
                                                "",
                                                "--address",
                                                "1.2.3.4",
                                                "failure-domain",
                                                "--log-level"};
    return *rc::gen::inRange(0, 4) == 0 ? *rc::gen::arbitrary<std::string>() : *rc::gen::elementOf(typicalWords);
}

std::string validReport()
{
    report::BurnState state{.start = BootTime(1h), .services = {}};
    report::setObjectives(state, table::Table::parse("service\nfees\n").value());
    report::record(state, {"fees", "f1", "bne-a", report::Outcome::Failed, 1ms}, BootTime(1h));
    return report::toJson(report::makeReport(state, BootTime(1h)));
}

} // namespace

TEST_CASE("any command line is either accepted or refused with the place of each finding")
{
    test::checkProperty(Seed, Runs, [] {
        const auto index = *rc::gen::inRange<std::size_t>(0, cli::allCommands().size());
        const cli::Command &command = cli::allCommands()[index];
        std::vector<std::string> words;
        for (int count = *rc::gen::inRange(0, 12); count > 0; --count) {
            // A command line can't contain a zero byte.
            std::string word = arbitraryWord();
            std::erase(word, '\0');
            words.push_back(std::move(word));
        }
        const Result<cli::Values> values = cli::readSettings(command, words, [](const std::string &) {
            return *rc::gen::inRange(0, 2) == 0 ? std::nullopt : std::optional<std::string>(arbitraryWord());
        });
        if (values) {
            for (const cli::Setting &setting : command.settings) {
                RC_ASSERT(!setting.required || !values.value().text(setting.name).empty());
            }
            return;
        }
        RC_ASSERT(!values.error().empty());
        for (const Finding &finding : values.error()) {
            RC_ASSERT(!finding.place.empty() && !finding.message.empty());
        }
    });
}

TEST_CASE("any list of replicas is either refused, or gives each replica an id and two addresses of its own")
{
    test::checkProperty(Seed + 1, Runs, [] {
        std::string text = "c1=127.0.0.1:7101/7001,c2=127.0.0.1:7102/7002";
        for (int count = *rc::gen::inRange(0, 4); count > 0; --count) {
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::elementOf(std::string("c12=.:/,0789 "));
        }
        const std::optional<wire::Membership> membership = cli::readReplicas(text);
        if (!membership) {
            return;
        }
        std::set<std::string> seen;
        for (const wire::Replica &replica : membership->replicas()) {
            RC_ASSERT(seen.insert("id " + replica.id()).second);
            RC_ASSERT(seen.insert(replica.address()).second);
            RC_ASSERT(seen.insert(replica.control_address()).second);
        }
    });
}

TEST_CASE("a corrupted burn report is either refused or read, and never crashes the command")
{
    const std::string valid = validReport();
    unsigned accepted = 0;
    test::checkProperty(Seed + 2, Runs, [&] {
        std::string text = valid;
        for (int count = *rc::gen::inRange(1, 4); count > 0; --count) {
            text[*rc::gen::inRange<std::size_t>(0, text.size())] =
                *rc::gen::elementOf(std::string("0-19eE.\"{}[],:nt"));
        }
        const Result<report::BurnReport> report = report::fromJson(text);
        if (!report) {
            RC_ASSERT(!report.error().empty());
            return;
        }
        ++accepted;
        RC_ASSERT(!report::toText(report.value()).empty());
        RC_ASSERT(report::fromJson(report::toJson(report.value())).has_value());
    });
    CHECK(accepted > 0);
    CHECK(accepted < Runs);
}
