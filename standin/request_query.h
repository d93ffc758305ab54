/// Reads the path and the query of a request's target.
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

class RequestQuery {
 public:
  explicit RequestQuery(std::string_view target) {
    const std::pair<std::string, std::string> parts =
        absl::StrSplit(std::string(target), absl::MaxSplits('?', 1));
    path_ = parts.first;
    for (const std::string& field : std::vector<std::string>(absl::StrSplit(parts.second, '&'))) {
      const std::pair<std::string, std::string> pair =
          absl::StrSplit(field, absl::MaxSplits('=', 1));
      fields_.insert(pair);
    }
  }

  const std::string& path() const { return path_; }
  bool Has(const std::string& name) const { return fields_.contains(name); }

  /// The field's text, empty when it is left out.
  std::string Text(const std::string& name) const {
    const auto found = fields_.find(name);
    return found == fields_.end() ? "" : found->second;
  }

  /// The field as a whole number, 0 when it is left out or is none.
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
