#include "operator_client/table_text.h"

#include <algorithm>

namespace mimosadeal {
namespace {

constexpr size_t kColumnGap = 2;

void AppendRow(const TableRow& row, const std::vector<size_t>& widths,
               std::string& text) {
  std::string line;
  for (size_t column = 0; column < row.size(); ++column) {
    line += row[column];
    line.append(widths[column] - row[column].size() + kColumnGap, ' ');
  }
  line.erase(line.find_last_not_of(' ') + 1);
  text += line + "\n";
}

}  // namespace

std::string MakeTableText(const TableRow& heading,
                          const std::vector<TableRow>& rows) {
  std::vector<size_t> widths;
  for (size_t column = 0; column < heading.size(); ++column) {
    size_t width = heading[column].size();
    for (const TableRow& row : rows)
      width = std::max(width, row[column].size());
    widths.push_back(width);
  }
  std::string text;
  AppendRow(heading, widths, text);
  TableRow line;
  for (const size_t width : widths) line.emplace_back(width, '-');
  AppendRow(line, widths, text);
  for (const TableRow& row : rows) AppendRow(row, widths, text);
  return text;
}

}  // namespace mimosadeal
