#pragma once

#include "table/Row.h"

#include <span>
#include <string>
#include <string_view>

namespace bergamotweir::table {

/** One column of the table: functions that read, write and merge its cells. */
struct Column {
    std::string_view name;
    /** Describes a valid cell; completes the finding "... isn't ...". */
    std::string_view expected;
    /** A valid cell, suggested as the remedy of an invalid one. */
    std::string_view example;
    /** True for columns of a service as a whole; rows that set one name no failure domain and no upstream. */
    bool isServiceWide;
    /** Sets the value in a row; returns false when the cell is not valid. The cell must not be empty. */
    bool (*read)(std::string_view cell, Row &row);
    /** @return the cell, empty when not set */
    std::string (*write)(const Row &row);
    /** Copies the value from another row unless it is set already. */
    void (*fillUnset)(Row &row, const Row &from);
};

/** @return the three columns that select what a row applies to: service, failure domain, upstream */
std::span<const Column> nameColumns();

/** @return the columns that set a policy value */
std::span<const Column> valueColumns();

} // namespace bergamotweir::table
