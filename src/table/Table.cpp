#include "table/Table.h"

#include "Column.h"
#include "CsvLine.h"
#include "TableReader.h"

#include <array>
#include <set>
#include <unordered_map>

namespace bergamotweir::table {

namespace {

std::string keyOfNames(std::string_view service, std::string_view failureDomain, std::string_view upstream)
{
    std::string joined;
    joined.reserve(service.size() + failureDomain.size() + upstream.size() + 2);
    // Names contain no comma, so the joined key is unique.
    joined.append(service).append(1, ',').append(failureDomain).append(1, ',').append(upstream);
    return joined;
}

void fillUnsetColumns(Row &row, const Row &from)
{
    for (const Column &column : valueColumns()) {
        column.fillUnset(row, from);
    }
}

} // namespace

struct Table::Index {
    std::vector<Row> rows;
    /** By the key of the three names; rows with the same names are merged. */
    std::unordered_map<std::string, Row> byNames;
    std::set<std::string, std::less<>> services;

    Row lookUp(std::string_view service, std::string_view failureDomain, std::string_view upstream) const;
};

Row Table::Index::lookUp(std::string_view service, std::string_view failureDomain, std::string_view upstream) const
{
    Row result;
    const auto fillFrom =
        [&](std::string_view serviceName, std::string_view domainName, std::string_view upstreamName) {
            const auto found = this->byNames.find(keyOfNames(serviceName, domainName, upstreamName));
            if (found != this->byNames.end()) {
                fillUnsetColumns(result, found->second);
            }
        };
    // In order of precedence: the first row that sets a column decides its value.
    fillFrom(service, failureDomain, upstream);
    fillFrom(Any, failureDomain, upstream);
    fillFrom(service, Any, upstream);
    fillFrom(Any, Any, upstream);
    fillFrom(service, failureDomain, Any);
    fillFrom(Any, failureDomain, Any);
    fillFrom(service, Any, Any);
    fillFrom(Any, Any, Any);
    return result;
}

Table::Table()
    : index(std::make_shared<const Index>())
{
}

Table::Table(std::shared_ptr<const Index> index)
    : index(std::move(index))
{
}

Result<Table> Table::parse(std::string_view csv)
{
    Result<std::vector<Row>> rows = readRows(csv);
    if (!rows) {
        return std::move(rows).error();
    }
    auto index = std::make_shared<Index>();
    index->rows = std::move(rows).value();
    for (const Row &row : index->rows) {
        const auto [entry, inserted] =
            index->byNames.try_emplace(keyOfNames(row.service, row.failureDomain, row.upstream), row);
        if (!inserted) {
            fillUnsetColumns(entry->second, row);
        }
        if (row.service != Any) {
            index->services.insert(row.service);
        }
    }
    return Table(std::move(index));
}

Table Table::withRoutes(RouteTable routes) const
{
    Table result = *this;
    result.routeTable = std::move(routes);
    return result;
}

const RouteTable &Table::routes() const
{
    return this->routeTable;
}

bool Table::hasService(std::string_view service) const
{
    return this->index->services.contains(service) || this->routeTable.service(service) != nullptr;
}

std::vector<std::string> Table::services() const
{
    std::set<std::string> names(this->index->services.begin(), this->index->services.end());
    for (const auto &[name, service] : this->routeTable.services()) {
        names.insert(name);
    }
    return {names.begin(), names.end()};
}

ServicePolicy Table::service(std::string_view service) const
{
    const Row row = this->index->lookUp(service, Any, Any);
    const ServicePolicy defaults;
    const RoutedService *const routed = this->routeTable.service(service);
    const bool numbered = routed != nullptr && routed->numberedKeys;
    return {
        .keyed = row.keyed.value_or(numbered),
        .timeout = row.timeout.value_or(defaults.timeout),
        .sloAvailability = row.sloAvailability.value_or(defaults.sloAvailability),
        .sloLatency = row.sloLatency.value_or(defaults.sloLatency),
        .sloPercentile = row.sloPercentile.value_or(defaults.sloPercentile),
        .numberedKeys = numbered,
        .warmupPerSecond = routed == nullptr ? 0 : routed->warmupPerSecond,
    };
}

UpstreamPolicy
Table::upstream(std::string_view service, std::string_view failureDomain, std::string_view upstream) const
{
    const Row row = this->index->lookUp(service, failureDomain, upstream);
    const UpstreamPolicy defaults;
    return {
        .weight = row.weight.value_or(defaults.weight),
        .limit = row.limit.value_or(defaults.limit),
        .inService = row.inService.value_or(defaults.inService),
    };
}

const std::vector<Row> &Table::rows() const
{
    return this->index->rows;
}

std::string Table::toCsv() const
{
    std::vector<std::string> cells;
    for (const std::span<const Column> columns : {nameColumns(), valueColumns()}) {
        for (const Column &column : columns) {
            cells.emplace_back(column.name);
        }
    }
    std::string csv = writeCsvLine(cells);
    for (const Row &row : this->index->rows) {
        cells.clear();
        for (const std::span<const Column> columns : {nameColumns(), valueColumns()}) {
            for (const Column &column : columns) {
                cells.push_back(column.write(row));
            }
        }
        csv += writeCsvLine(cells);
    }
    return csv;
}

} // namespace bergamotweir::table
