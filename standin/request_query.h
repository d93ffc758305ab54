/// Parser for the path and the query of a request target.
#ifndef WIGEONLANE_STANDIN_REQUEST_QUERY_H_
#define WIGEONLANE_STANDIN_REQUEST_QUERY_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace wigeonlane {

/// The path and the query fields of one request target. Percent escapes aren't decoded.
class RequestQuery {
 public:
  explicit RequestQuery(std::string_view target) {
    const std::pair<std::string, std::string> path_and_query =
        absl::StrSplit(std::string(target), absl::MaxSplits('?', 1));
    path_ = path_and_query.first;
    for (const std::string& field :
         std::vector<std::string>(absl::StrSplit(path_and_query.second, '&'))) {
      const std::pair<std::string, std::string> name_and_value =
          absl::StrSplit(field, absl::MaxSplits('=', 1));
      fields_.insert(name_and_value);
    }
  }

  const std::string& path() const { return path_; }
  bool Has(const std::string& name) const { return fields_.contains(name); }

  /// Returns the field's text, or an empty text when the field is missing.
  std::string Text(const std::string& name) const {
    const auto field_entry = fields_.find(name);
    return field_entry == fields_.end() ? "" : field_entry->second;
  }

  /// Returns the field as a whole number, or 0 when it is missing or not a number.
  std::uint64_t Number(const std::string& name) const {
    std::uint64_t value = 0;
    return absl::SimpleAtoi(Text(name), &value) ? value : 0;
  }

 private:
  std::string path_;
  std::map<std::string, std::string> fields_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_REQUEST_QUERY_H_
