#include "Property.h"
#include "table/RowDifference.h"
#include "table/Table.h"

#include <algorithm>
#include <array>

using namespace bergamotweir;
using namespace bergamotweir::table;

namespace {

constexpr std::uint64_t Seed = 20261202;
constexpr int Runs = 2000;

/** A column of the generator: its name and cells that it may hold. */
struct Choice {
    const char *column;
    std::vector<std::string> cells;
};

const std::vector<Choice> &choices()
{
    static const std::vector<Choice> all{
        {"service", {"*", "fees", "pay"}},
        {"failure_domain", {"*", "bne-a"}},
        {"upstream", {"*", "f1", "f2"}},
        {"weight", {"", "0", "1", "0.5", "1e-3", "1000", "-1", "nan", "inf", "1.0000000001"}},
        {"limit", {"", "0", "12", "10000", "10001", "4294967297"}},
        {"keyed", {"", "yes", "no", "YES"}},
        {"timeout_ms", {"", "1", "600000", "0", "1.5"}},
        {"slo_availability", {"", "99.9", "100", "1"}},
        {"in_service", {"", "yes", "no", " no "}},
    };
    return all;
}

/** A table with columns in any order, most cells good, some bad. */
std::string anyTable()
{
    std::vector<Choice> columns = choices();
    for (std::size_t i = columns.size() - 1; i > 0; --i) {
        std::swap(columns[i], columns[*rc::gen::inRange<std::size_t>(0, i + 1)]);
    }
    std::string csv;
    for (const Choice &choice : columns) {
        csv += (csv.empty() ? "" : ",") + std::string(choice.column);
    }
    csv += *rc::gen::element<std::string>("\n", "\r\n", "\n# note\n", "\n\n");
    for (int row = *rc::gen::inRange(0, 4); row > 0; --row) {
        std::string line;
        for (const Choice &choice : columns) {
            const bool isFirstChoice = *rc::gen::inRange(0, 3) > 0 && choice.cells.front().empty();
            line += (line.empty() ? "" : ",")
                    + (isFirstChoice ? std::string() : "\"" + *rc::gen::elementOf(choice.cells) + "\"");
        }
        csv += line + "\n";
    }
    return csv;
}

/** The same text with a few bytes replaced, removed or doubled. */
std::string damaged(std::string text)
{
    using namespace std::string_view_literals;
    constexpr std::string_view Bytes = "\",\n\r#*\0\xff 9"sv;
    for (int count = *rc::gen::inRange(1, 6); count > 0 && !text.empty(); --count) {
        const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
        const char byte = Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())];
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            text[place] = byte;
            break;
        case 1:
            text.erase(place, 1);
            break;
        default:
            text.insert(place, 1, byte);
        }
    }
    return text;
}

/** The rows without their place in the file. */
std::vector<Row> unnumbered(const Table &table)
{
    std::vector<Row> rows = table.rows();
    for (Row &row : rows) {
        row.number = 0;
    }
    return rows;
}

void checkReading(const std::string &csv)
{
    const Result<Table> table = Table::parse(csv);
    if (!table) {
        RC_ASSERT(!table.error().empty());
        for (const Finding &finding : table.error()) {
            RC_ASSERT(!finding.place.empty() && !finding.message.empty());
            RC_ASSERT(toText({finding}).find('\0') == std::string::npos);
        }
        return;
    }
    const std::string written = table.value().toCsv();
    const Result<Table> again = Table::parse(written);
    RC_ASSERT(again.has_value());
    RC_ASSERT(again.value().toCsv() == written);
    RC_ASSERT(differences(table.value(), again.value()).empty());
    RC_ASSERT(unnumbered(again.value()) == unnumbered(table.value()));
}

} // namespace

TEST_CASE("any table is either read and written back as it was, or refused with findings")
{
    unsigned good = 0;
    test::checkProperty(Seed, Runs, [&] {
        const std::string csv = anyTable();
        good += Table::parse(csv).has_value() ? 1 : 0;
        checkReading(csv);
    });
    // The generator must reach both sides.
    CHECK(good > Runs / 10);
    CHECK(good < Runs * 9 / 10);
}

TEST_CASE("damaged tables and arbitrary bytes never stop the process")
{
    test::checkProperty(Seed + 1, Runs, [] {
        checkReading(damaged(anyTable()));
    });
    test::checkProperty(Seed + 2, Runs, [] {
        checkReading(*rc::gen::arbitrary<std::string>());
    });
}
