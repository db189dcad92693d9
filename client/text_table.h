#pragma once

#include <string>
#include <vector>

namespace fuchsiagauge {

/// The cells of one table row.
using text_row = std::vector<std::string>;

/// Formats rows as an aligned text table. Columns that hold only numbers below the header are right-aligned.
/// @param rows the rows, starting with the header; all have the same number of cells.
/// @return one line per row, each ending with a newline.
std::string formatTextTable(const std::vector<text_row>& rows);

} // namespace fuchsiagauge
