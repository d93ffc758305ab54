/// Plain text tables.
#ifndef WIGEONLANE_CLI_TABLE_H_
#define WIGEONLANE_CLI_TABLE_H_

#include <string>
#include <vector>

namespace wigeonlane {

/// Rows of cells under a header, printed with aligned columns.
class Table {
 public:
  explicit Table(std::vector<std::string> header) { rows_.push_back(std::move(header)); }

  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

  std::string ToText() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CLI_TABLE_H_
