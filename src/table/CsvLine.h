#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotweir::table {

/**
 * Splits one line of CSV into its cells; blanks around unquoted cells are removed.
 * @param line without its end of line
 * @return the cells, or nullopt when a quote is not closed or occurs inside an unquoted cell
 */
std::optional<std::vector<std::string>> readCsvLine(std::string_view line);

/** @return the cells as one line of CSV that ends with a newline; cells are quoted where needed */
std::string writeCsvLine(const std::vector<std::string> &cells);

} // namespace bergamotweir::table
