/// Plain text tables.
#ifndef WIGEONLANE_CLI_TABLE_H_
#define WIGEONLANE_CLI_TABLE_H_

#include <string>
#include <vector>

namespace wigeonlane {

/// Text table of a header and rows; columns are padded to their widest value.
class Table {
 public:
  explicit Table(std::vector<std::string> header) { rows_.push_back(std::move(header)); }

  void AddRow(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

  /// Returns one line a row, columns separated by at least two spaces.
  std::string ToText() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CLI_TABLE_H_
