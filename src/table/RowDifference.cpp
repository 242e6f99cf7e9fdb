#include "table/RowDifference.h"

#include "Column.h"
#include "table/Table.h"

#include <map>
#include <optional>
#include <string_view>
#include <tuple>

namespace bergamotweir::table {

namespace {

/** Names of a row; they live as long as the tables. */
using Names = std::tuple<std::string_view, std::string_view, std::string_view>;

/** The rows for the same names in both tables, each laid together; nothing where a table has none. */
struct RowPair {
    std::optional<Row> before;
    std::optional<Row> after;
};

void lay(std::optional<Row> &into, const Row &row)
{
    if (!into) {
        into = row;
        // The place in the file makes no difference.
        into->number = 0;
        return;
    }
    for (const Column &column : valueColumns()) {
        column.fill(*into, row);
    }
}

std::vector<CellDifference> cellDifferences(const Row &before, const Row &after)
{
    std::vector<CellDifference> cells;
    for (const Column &column : valueColumns()) {
        CellDifference cell{std::string(column.name), column.write(before), column.write(after)};
        if (cell.before != cell.after) {
            cells.push_back(std::move(cell));
        }
    }
    return cells;
}

} // namespace

std::vector<RowDifference> differences(const Table &before, const Table &after)
{
    std::map<Names, RowPair> pairs;
    for (const Row &row : before.rows()) {
        lay(pairs[{row.service, row.failureDomain, row.upstream}].before, row);
    }
    for (const Row &row : after.rows()) {
        lay(pairs[{row.service, row.failureDomain, row.upstream}].after, row);
    }
    std::vector<RowDifference> result;
    for (const auto &[names, pair] : pairs) {
        if (pair.before == pair.after) {
            continue;
        }
        std::vector<CellDifference> cells = cellDifferences(pair.before.value_or(Row()), pair.after.value_or(Row()));
        if (cells.empty()) {
            // A row that sets nothing still makes its service known.
            cells.push_back({"row", pair.before ? "there" : "", pair.after ? "there" : ""});
        }
        const auto &[service, failureDomain, upstream] = names;
        result.push_back({std::string(service), std::string(failureDomain), std::string(upstream), std::move(cells)});
    }
    return result;
}

std::string toText(const RowDifference &difference)
{
    const auto shown = [](const std::string &cell) {
        return cell.empty() ? std::string("not set") : cell;
    };
    std::string text = difference.service + "," + difference.failureDomain + "," + difference.upstream + ":";
    for (const CellDifference &cell : difference.cells) {
        text += " " + cell.column + " " + shown(cell.before) + " -> " + shown(cell.after) + ";";
    }
    text.pop_back();
    return text;
}

} // namespace bergamotweir::table
