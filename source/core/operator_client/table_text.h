// Formats rows as a text table with aligned columns.
#pragma once

#include <string>
#include <vector>

namespace mimosadeal {

using TableRow = std::vector<std::string>;

// Returns the heading, a line and the rows. Every row must have as many cells
// as the heading.
std::string MakeTableText(const TableRow& heading,
                          const std::vector<TableRow>& rows);

}  // namespace mimosadeal
