#include "TableReader.h"

#include "Column.h"
#include "CsvLine.h"
#include "table/Table.h"

#include <algorithm>
#include <map>
#include <set>

namespace bergamotweir::table {

namespace {

constexpr std::string_view ByteOrderMark = "\xef\xbb\xbf";
constexpr std::size_t MaxQuotedLength = 40;

/** State of reading a file. */
struct ReaderState {
    /** Column of each cell; null where the header cell names no known column. */
    std::vector<const Column *> header;
    std::vector<Row> rows;
    Findings findings;
    std::size_t omittedFindings = 0;
};

void addFinding(ReaderState &state, Finding finding)
{
    if (state.findings.size() < MaxFindings) {
        state.findings.push_back(std::move(finding));
    } else {
        ++state.omittedFindings;
    }
}

std::string rowPlace(unsigned number)
{
    return "row " + std::to_string(number);
}

std::string cellPlace(unsigned number, std::string_view column)
{
    return rowPlace(number) + ", column " + std::string(column);
}

/** Quotes a cell for a finding: shortened, and without control characters that a terminal could interpret. */
std::string printable(std::string_view cell)
{
    std::string text = "\"";
    for (const char character : cell.substr(0, MaxQuotedLength)) {
        text += character >= ' ' && character <= '~' ? character : '?';
    }
    return text + (cell.size() > MaxQuotedLength ? "...\"" : "\"");
}

const Column *findColumn(std::string_view name)
{
    for (const std::span<const Column> columns : {nameColumns(), valueColumns()}) {
        const auto column = std::ranges::find(columns, name, &Column::name);
        if (column != columns.end()) {
            return &*column;
        }
    }
    return nullptr;
}

std::string allColumnNames()
{
    std::string names;
    for (const std::span<const Column> columns : {nameColumns(), valueColumns()}) {
        for (const Column &column : columns) {
            names += (names.empty() ? "" : ", ") + std::string(column.name);
        }
    }
    return names;
}

void readHeader(ReaderState &state, unsigned number, const std::vector<std::string> &cells)
{
    std::set<std::string> seen;
    for (const std::string &cell : cells) {
        const Column *column = findColumn(cell);
        if (column == nullptr) {
            addFinding(state, {rowPlace(number), "unknown column " + printable(cell), "one of " + allColumnNames()});
        } else if (!seen.insert(cell).second) {
            addFinding(state, {cellPlace(number, cell), "the column stands twice", "it once"});
        }
        state.header.push_back(column);
    }
    if (!seen.contains("service")) {
        addFinding(state, {rowPlace(number), "the header has no column service", "service as its first column"});
    }
}

void readCell(ReaderState &state, const Column &column, const std::string &cell, Row &row)
{
    const bool isNameColumn = std::ranges::find(nameColumns(), column.name, &Column::name) != nameColumns().end();
    if (cell.empty() && !isNameColumn) {
        return;
    }
    if (cell.empty()) {
        addFinding(state, {cellPlace(row.number, column.name), "is empty", "a name, or * for any"});
    } else if (!column.read(cell, row)) {
        addFinding(state,
                   {cellPlace(row.number, column.name),
                    printable(cell) + " isn't " + std::string(column.expected),
                    "for example " + std::string(column.example)});
    }
}

/**
 * Checks that deadlines and objectives are set only for a service as a whole: a request has no upstream yet when its
 * deadline starts.
 */
void checkServiceWide(ReaderState &state, const Row &row)
{
    if (row.failureDomain == Any && row.upstream == Any) {
        return;
    }
    for (const Column &column : valueColumns()) {
        if (column.isServiceWide && !column.write(row).empty()) {
            addFinding(state,
                       {cellPlace(row.number, column.name),
                        "is set for a failure domain or an upstream, but holds for a whole service",
                        "it in the row with failure_domain * and upstream *"});
        }
    }
}

void readRow(ReaderState &state, unsigned number, const std::vector<std::string> &cells)
{
    if (cells.size() != state.header.size()) {
        addFinding(
            state,
            {rowPlace(number),
             "has " + std::to_string(cells.size()) + " cells, the header has " + std::to_string(state.header.size()),
             "one cell for each column, empty where nothing is set"});
        return;
    }
    if (state.rows.size() == MaxRows) {
        addFinding(state, {rowPlace(number), "the table has more than " + std::to_string(MaxRows) + " rows", {}});
        return;
    }
    Row row;
    row.number = number;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        if (state.header[i] != nullptr) {
            readCell(state, *state.header[i], cells[i], row);
        }
    }
    checkServiceWide(state, row);
    state.rows.push_back(std::move(row));
}

bool isBlank(const std::vector<std::string> &cells)
{
    return std::ranges::all_of(cells, &std::string::empty);
}

/** Accepts a quoted comment too, as spreadsheets quote a comment that contains a comma. */
bool isComment(std::string_view line)
{
    const std::size_t start = line.find_first_not_of(" \t\"");
    return start != std::string_view::npos && line[start] == '#';
}

void readLine(ReaderState &state, unsigned number, std::string_view line)
{
    if (isComment(line)) {
        return;
    }
    const std::optional<std::vector<std::string>> cells = readCsvLine(line);
    if (!cells) {
        addFinding(state, {rowPlace(number), "a quote is not closed, or stands inside a cell", "\" only round a cell"});
        return;
    }
    if (isBlank(*cells)) {
        return;
    }
    if (state.header.empty()) {
        readHeader(state, number, *cells);
    } else {
        readRow(state, number, *cells);
    }
}

/** Checks that no two rows for the same names set the same column, as neither would take precedence. */
void checkDuplicates(ReaderState &state)
{
    std::map<std::tuple<std::string, std::string, std::string>, std::vector<const Row *>> byNames;
    for (const Row &row : state.rows) {
        byNames[{row.service, row.failureDomain, row.upstream}].push_back(&row);
    }
    for (const auto &[names, rows] : byNames) {
        if (rows.size() < 2) {
            continue;
        }
        for (const Column &column : valueColumns()) {
            const Row *first = nullptr;
            for (const Row *row : rows) {
                if (column.write(*row).empty()) {
                    continue;
                }
                if (first != nullptr) {
                    addFinding(state,
                               {cellPlace(row->number, column.name),
                                "row " + std::to_string(first->number)
                                    + " sets it for the same service, failure domain and upstream",
                                "it in one of the two rows"});
                    break;
                }
                first = row;
            }
        }
    }
}

} // namespace

Result<std::vector<Row>> readRows(std::string_view csv)
{
    if (csv.size() > MaxTableBytes) {
        return oneFinding("table",
                          "has " + std::to_string(csv.size()) + " bytes, at most " + std::to_string(MaxTableBytes)
                              + " are taken");
    }
    if (csv.starts_with(ByteOrderMark)) {
        csv.remove_prefix(ByteOrderMark.size());
    }
    ReaderState state;
    for (unsigned number = 1; !csv.empty(); ++number) {
        const std::size_t end = std::min(csv.find('\n'), csv.size());
        std::string_view line = csv.substr(0, end);
        csv.remove_prefix(std::min(end + 1, csv.size()));
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        readLine(state, number, line);
    }
    if (state.header.empty() && state.findings.empty()) {
        addFinding(state, {"row 1", "the table has no header", allColumnNames()});
    }
    checkDuplicates(state);
    if (state.omittedFindings > 0) {
        state.findings.push_back({"table", std::to_string(state.omittedFindings) + " more findings left out", {}});
    }
    if (!state.findings.empty()) {
        return state.findings;
    }
    return std::move(state.rows);
}

} // namespace bergamotweir::table
