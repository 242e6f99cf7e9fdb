#include "table/RowDifference.h"

#include "Column.h"
#include "table/Table.h"

#include <map>
#include <tuple>

namespace bergamotweir::table {

namespace {

using Names = std::tuple<std::string, std::string, std::string>;

std::map<Names, Row> byNames(const Table &table)
{
    std::map<Names, Row> merged;
    for (const Row &row : table.rows()) {
        const auto [entry, inserted] = merged.try_emplace({row.service, row.failureDomain, row.upstream}, row);
        for (const Column &column : valueColumns()) {
            column.fill(entry->second, row);
        }
    }
    return merged;
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
    const std::map<Names, Row> old = byNames(before);
    const std::map<Names, Row> now = byNames(after);
    std::map<Names, std::pair<Row, Row>> both;
    for (const auto &[names, row] : old) {
        both[names].first = row;
    }
    for (const auto &[names, row] : now) {
        both[names].second = row;
    }
    std::vector<RowDifference> result;
    for (const auto &[names, pair] : both) {
        std::vector<CellDifference> cells = cellDifferences(pair.first, pair.second);
        // A row that sets nothing still makes its service known.
        if (!cells.empty() || old.contains(names) != now.contains(names)) {
            const auto &[service, failureDomain, upstream] = names;
            if (cells.empty()) {
                cells.push_back({"row", old.contains(names) ? "there" : "", now.contains(names) ? "there" : ""});
            }
            result.push_back({service, failureDomain, upstream, std::move(cells)});
        }
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
