#pragma once

#include <string>
#include <vector>

namespace bergamotweir::table {

class Table;

/** One column in which two tables differ for the same service, failure domain and upstream. */
struct CellDifference {
    std::string column;
    /** Empty when not set. */
    std::string before;
    std::string after;

    bool operator==(const CellDifference &other) const = default;
};

/** The differences between two tables in the rows for one service, failure domain and upstream. */
struct RowDifference {
    std::string service;
    std::string failureDomain;
    std::string upstream;
    std::vector<CellDifference> cells;

    bool operator==(const RowDifference &other) const = default;
};

/**
 * Compares two tables by content: comments and the order of rows and columns are ignored.
 * @return the differing rows, sorted by service, failure domain and upstream
 */
std::vector<RowDifference> differences(const Table &before, const Table &after);

/** @return one line for people, such as "catalogue,bne-a,*: weight 1 -> 2" */
std::string toText(const RowDifference &difference);

} // namespace bergamotweir::table
