#include "cli/table.h"

#include <algorithm>

namespace wigeonlane {

std::string Table::ToText() const {
  std::vector<std::size_t> widths;
  for (const auto& row : rows_) {
    widths.resize(std::max(widths.size(), row.size()), 0);
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) line.append(widths[i] - row[i].size() + 2, ' ');
    }
    text += line + "\n";
  }
  return text;
}

}  // namespace wigeonlane
