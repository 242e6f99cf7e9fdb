#pragma once

#include "base/Result.h"
#include "table/Row.h"

#include <string_view>
#include <vector>

namespace bergamotweir::table {

/**
 * Reads header and rows and checks each of them.
 * @return rows without ties, or all findings
 */
Result<std::vector<Row>> readRows(std::string_view csv);

} // namespace bergamotweir::table
