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

/** A column of the generator: its name and the cells to choose from. */
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

/** Generates a table with columns in any order, most cells valid, some invalid. */
std::string arbitraryTable()
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
            const bool isEmptyCell = *rc::gen::inRange(0, 3) > 0 && choice.cells.front().empty();
            line += (line.empty() ? "" : ",")
                    + (isEmptyCell ? std::string() : "\"" + *rc::gen::elementOf(choice.cells) + "\"");
        }
        csv += line + "\n";
    }
    return csv;
}

/** Replaces, removes or inserts a few bytes of a text. */
std::string corrupted(std::string text)
{
    using namespace std::string_view_literals;
    constexpr std::string_view Bytes = "\",\n\r#*\0\xff 9"sv;
    for (int count = *rc::gen::inRange(1, 6); count > 0 && !text.empty(); --count) {
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        const char byte = Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())];
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            text[position] = byte;
            break;
        case 1:
            text.erase(position, 1);
            break;
        default:
            text.insert(position, 1, byte);
        }
    }
    return text;
}

/** Returns the rows with their line numbers set to 0. */
std::vector<Row> rowsWithoutNumbers(const Table &table)
{
    std::vector<Row> rows = table.rows();
    for (Row &row : rows) {
        row.number = 0;
    }
    return rows;
}

void checkParse(const std::string &csv)
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
    RC_ASSERT(rowsWithoutNumbers(again.value()) == rowsWithoutNumbers(table.value()));
}

} // namespace

TEST_CASE("any table is either parsed and written back unchanged, or refused with findings")
{
    unsigned accepted = 0;
    test::checkProperty(Seed, Runs, [&] {
        const std::string csv = arbitraryTable();
        accepted += Table::parse(csv).has_value() ? 1 : 0;
        checkParse(csv);
    });
    // The generator must produce both accepted and rejected tables.
    CHECK(accepted > Runs / 10);
    CHECK(accepted < Runs * 9 / 10);
}

TEST_CASE("corrupted tables and arbitrary bytes never crash the process")
{
    test::checkProperty(Seed + 1, Runs, [] {
        checkParse(corrupted(arbitraryTable()));
    });
    test::checkProperty(Seed + 2, Runs, [] {
        checkParse(*rc::gen::arbitrary<std::string>());
    });
}
