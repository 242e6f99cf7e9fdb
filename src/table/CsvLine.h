#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotweir::table {

/**
 * Splits one line of CSV into its cells; blanks round unquoted cells are dropped.
 * @param line without its end of line
 * @return the cells, or nothing when its quotes are not closed or stand inside an unquoted cell
 */
std::optional<std::vector<std::string>> readCsvLine(std::string_view line);

/** @return the cells as one line of CSV, ended by a newline; quoted where needed */
std::string writeCsvLine(const std::vector<std::string> &cells);

} // namespace bergamotweir::table
