// Lays out rows as a table of text with aligned columns.
#pragma once

#include <string>
#include <vector>

namespace mimosadeal {

using TableRow = std::vector<std::string>;

// Returns the rows below a heading and a line; every row has as many cells as
// the heading.
std::string MakeTableText(const TableRow& heading,
                          const std::vector<TableRow>& rows);

}  // namespace mimosadeal
