#pragma once

#include "table/Row.h"

#include <span>
#include <string>
#include <string_view>

namespace bergamotweir::table {

/** One column of the table: how its cells are read, written and laid over each other. */
struct Column {
    std::string_view name;
    /** What a cell may hold, completes "which isn't ...". */
    std::string_view expected;
    /** A value to write instead of a bad one. */
    std::string_view example;
    /** True for columns that speak of a service as a whole; its rows name no failure domain and no upstream. */
    bool wholeService;
    /** Sets the value in a row; false when the cell doesn't hold one. The cell is not empty. */
    bool (*read)(std::string_view cell, Row &row);
    /** @return the cell, empty when not set */
    std::string (*write)(const Row &row);
    /** Sets the value from another row unless it is set already. */
    void (*fill)(Row &row, const Row &from);
};

/** @return the three columns that tell what a row speaks of: service, failure domain, upstream */
std::span<const Column> nameColumns();

/** @return the columns that set something */
std::span<const Column> valueColumns();

} // namespace bergamotweir::table
