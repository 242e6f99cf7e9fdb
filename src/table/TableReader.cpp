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
constexpr std::size_t MaxQuotedCell = 40;

/** What is read of the file so far. */
struct Reading {
    /** Column of each cell; null where the header cell is unknown. */
    std::vector<const Column *> header;
    std::vector<Row> rows;
    Findings findings;
    std::size_t findingsLeftOut = 0;
};

void found(Reading &reading, Finding finding)
{
    if (reading.findings.size() < MaxFindings) {
        reading.findings.push_back(std::move(finding));
    } else {
        ++reading.findingsLeftOut;
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

/** A cell as it may be printed: short, and without control characters that could act on a terminal. */
std::string printable(std::string_view cell)
{
    std::string text = "\"";
    for (const char character : cell.substr(0, MaxQuotedCell)) {
        text += character >= ' ' && character <= '~' ? character : '?';
    }
    return text + (cell.size() > MaxQuotedCell ? "...\"" : "\"");
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

void readHeader(Reading &reading, unsigned number, const std::vector<std::string> &cells)
{
    std::set<std::string> seen;
    for (const std::string &cell : cells) {
        const Column *column = findColumn(cell);
        if (column == nullptr) {
            found(reading, {rowPlace(number), "unknown column " + printable(cell), "one of " + allColumnNames()});
        } else if (!seen.insert(cell).second) {
            found(reading, {cellPlace(number, cell), "the column stands twice", "it once"});
        }
        reading.header.push_back(column);
    }
    if (!seen.contains("service")) {
        found(reading, {rowPlace(number), "the header has no column service", "service as its first column"});
    }
}

void readCell(Reading &reading, const Column &column, const std::string &cell, Row &row)
{
    const bool isName = std::ranges::find(nameColumns(), column.name, &Column::name) != nameColumns().end();
    if (cell.empty() && !isName) {
        return;
    }
    if (cell.empty()) {
        found(reading, {cellPlace(row.number, column.name), "is empty", "a name, or * for any"});
    } else if (!column.read(cell, row)) {
        found(reading,
              {cellPlace(row.number, column.name),
               printable(cell) + " isn't " + std::string(column.expected),
               "for example " + std::string(column.example)});
    }
}

/** A deadline or an objective belongs to a service as a whole: a request has no upstream yet when its deadline starts.
 */
void checkWholeService(Reading &reading, const Row &row)
{
    if (row.failureDomain == Any && row.upstream == Any) {
        return;
    }
    for (const Column &column : valueColumns()) {
        if (column.wholeService && !column.write(row).empty()) {
            found(reading,
                  {cellPlace(row.number, column.name),
                   "is set for a failure domain or an upstream, but holds for a whole service",
                   "it in the row with failure_domain * and upstream *"});
        }
    }
}

void readRow(Reading &reading, unsigned number, const std::vector<std::string> &cells)
{
    if (cells.size() != reading.header.size()) {
        found(
            reading,
            {rowPlace(number),
             "has " + std::to_string(cells.size()) + " cells, the header has " + std::to_string(reading.header.size()),
             "one cell for each column, empty where nothing is set"});
        return;
    }
    if (reading.rows.size() == MaxRows) {
        found(reading, {rowPlace(number), "the table has more than " + std::to_string(MaxRows) + " rows", {}});
        return;
    }
    Row row;
    row.number = number;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        if (reading.header[i] != nullptr) {
            readCell(reading, *reading.header[i], cells[i], row);
        }
    }
    checkWholeService(reading, row);
    reading.rows.push_back(std::move(row));
}

bool isBlank(const std::vector<std::string> &cells)
{
    return std::ranges::all_of(cells, &std::string::empty);
}

/** Spreadsheets quote a comment that holds a comma. */
bool isComment(std::string_view line)
{
    const std::size_t start = line.find_first_not_of(" \t\"");
    return start != std::string_view::npos && line[start] == '#';
}

void readLine(Reading &reading, unsigned number, std::string_view line)
{
    if (isComment(line)) {
        return;
    }
    const std::optional<std::vector<std::string>> cells = readCsvLine(line);
    if (!cells) {
        found(reading, {rowPlace(number), "a quote is not closed, or stands inside a cell", "\" only round a cell"});
        return;
    }
    if (isBlank(*cells)) {
        return;
    }
    if (reading.header.empty()) {
        readHeader(reading, number, *cells);
    } else {
        readRow(reading, number, *cells);
    }
}

/** Two rows for the same names must not set the same column: neither would be the more specific one. */
void checkTies(Reading &reading)
{
    std::map<std::tuple<std::string, std::string, std::string>, std::vector<const Row *>> byNames;
    for (const Row &row : reading.rows) {
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
                    found(reading,
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
    Reading reading;
    for (unsigned number = 1; !csv.empty(); ++number) {
        const std::size_t end = std::min(csv.find('\n'), csv.size());
        std::string_view line = csv.substr(0, end);
        csv.remove_prefix(std::min(end + 1, csv.size()));
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        readLine(reading, number, line);
    }
    if (reading.header.empty() && reading.findings.empty()) {
        found(reading, {"row 1", "the table has no header", allColumnNames()});
    }
    checkTies(reading);
    if (reading.findingsLeftOut > 0) {
        reading.findings.push_back({"table", std::to_string(reading.findingsLeftOut) + " more findings left out", {}});
    }
    if (!reading.findings.empty()) {
        return reading.findings;
    }
    return std::move(reading.rows);
}

} // namespace bergamotweir::table
