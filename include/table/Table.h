#pragma once

#include "base/Result.h"
#include "table/Policy.h"
#include "table/RouteTable.h"
#include "table/Row.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotweir::table {

/** Bounds of a table, so that a replica can store, send and check it within one iteration of its event loop. */
inline constexpr std::size_t MaxTableBytes = std::size_t{2} << 20U;
inline constexpr std::size_t MaxRows = 20000;
inline constexpr std::size_t MaxNameLength = 64;
inline constexpr std::size_t MaxFindings = 50;

/**
 * The shared table: weights, limits, deadlines and objectives by service, failure domain and upstream.
 * An immutable value; copies share the rows. Each user owns its copy.
 *
 * Precedence is decided separately for each column, among the rows that match and set the column: a row that names the
 * upstream takes precedence over one that doesn't; then one that names the failure domain; then one that names the
 * service.
 * Two rows with the same three names must not set the same column.
 */
class Table
{
public:
    /** Makes a table without rows, in which no service is known. */
    Table();

    /**
     * Parses a table.
     * @param csv header and rows, UTF-8, at most MaxTableBytes
     * @return the table, or every finding with its "row N, column C" place (the first MaxFindings)
     */
    static Result<Table> parse(std::string_view csv);

    /** @return a table of the same rows with other routes; services that only the routes name are known as well */
    Table withRoutes(RouteTable routes) const;

    /** @return the routes; empty when the table was only parsed */
    const RouteTable &routes() const;

    /** @return true when a row or the routes name this service */
    bool hasService(std::string_view service) const;

    /** @return the services that rows and routes name, sorted */
    std::vector<std::string> services() const;

    /** @return the policy of a service, with the default for each column that no row sets */
    ServicePolicy service(std::string_view service) const;

    /** @return the policy of an upstream, with the default for each column that no row sets */
    UpstreamPolicy upstream(std::string_view service, std::string_view failureDomain, std::string_view upstream) const;

    /** @return the rows in the order of the file */
    const std::vector<Row> &rows() const;

    /** @return the table as CSV with all columns and without comments; parse() gives equal rows from it */
    std::string toCsv() const;

private:
    struct Index;
    explicit Table(std::shared_ptr<const Index> index);

    std::shared_ptr<const Index> index;
    RouteTable routeTable;
};

} // namespace bergamotweir::table
