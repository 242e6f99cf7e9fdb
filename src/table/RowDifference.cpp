#include "table/RowDifference.h"

#include "Column.h"
#include "table/Table.h"

#include <map>
#include <optional>
#include <string_view>
#include <tuple>

namespace bergamotweir::table {

namespace {

/** Service, failure domain and upstream of a row; valid as long as the tables. */
using Names = std::tuple<std::string_view, std::string_view, std::string_view>;

/** The merged rows for the same names in both tables; nullopt when a table has none. */
struct RowPair {
    std::optional<Row> before;
    std::optional<Row> after;
};

void mergeRow(std::optional<Row> &into, const Row &row)
{
    if (!into) {
        into = row;
        // The line number is not compared.
        into->number = 0;
        return;
    }
    for (const Column &column : valueColumns()) {
        column.fillUnset(*into, row);
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
        mergeRow(pairs[{row.service, row.failureDomain, row.upstream}].before, row);
    }
    for (const Row &row : after.rows()) {
        mergeRow(pairs[{row.service, row.failureDomain, row.upstream}].after, row);
    }
    std::vector<RowDifference> result;
    for (const auto &[names, pair] : pairs) {
        if (pair.before == pair.after) {
            continue;
        }
        std::vector<CellDifference> cells = cellDifferences(pair.before.value_or(Row()), pair.after.value_or(Row()));
        if (cells.empty()) {
            // A row that sets no column still makes its service known, so its presence is a difference.
            cells.push_back({"row", pair.before ? "there" : "", pair.after ? "there" : ""});
        }
        const auto &[service, failureDomain, upstream] = names;
        result.push_back({std::string(service), std::string(failureDomain), std::string(upstream), std::move(cells)});
    }
    return result;
}

std::string toText(const RowDifference &difference)
{
    const auto displayed = [](const std::string &cell) {
        return cell.empty() ? std::string("not set") : cell;
    };
    std::string text = difference.service + "," + difference.failureDomain + "," + difference.upstream + ":";
    for (const CellDifference &cell : difference.cells) {
        text += " " + cell.column + " " + displayed(cell.before) + " -> " + displayed(cell.after) + ";";
    }
    text.pop_back();
    return text;
}

} // namespace bergamotweir::table
