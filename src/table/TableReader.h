#pragma once

#include "base/Result.h"
#include "table/Row.h"

#include <string_view>
#include <vector>

namespace bergamotweir::table {

/**
 * Parses and checks the header and the rows.
 * @return the rows, of which no two set the same column for the same names, or the findings (the first MaxFindings)
 */
Result<std::vector<Row>> readRows(std::string_view csv);

} // namespace bergamotweir::table
