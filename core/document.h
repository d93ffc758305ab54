/// Strict reading of JSON documents: every error is one line with the path in the document.
#ifndef WIGEONLANE_CORE_DOCUMENT_H_
#define WIGEONLANE_CORE_DOCUMENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace wigeonlane {

/// Longest document that is read, in bytes.
inline constexpr std::size_t kMaxDocumentBytes = 1024 * 1024;

/// Parses `text` as one JSON value. Errors: InvalidArgument for anything else or a text longer
/// than `kMaxDocumentBytes`.
absl::StatusOr<nlohmann::json> ParseJson(std::string_view text);

/// Reads the fields of one JSON object. The first error is kept and later reads return defaults,
/// so that a parse function reads all its fields and asks `Finish` once.
class DocumentReader {
 public:
  /// `object` must outlive the reader; `path` names it in errors.
  DocumentReader(const nlohmann::json& object, std::string path);

  /// A required text of 1 to 128 characters from `[A-Za-z0-9._-]`.
  std::string Name(const std::string& field);

  /// A text with a default, one of `allowed`.
  std::string Choice(const std::string& field, std::initializer_list<std::string_view> allowed,
                     std::string_view fallback);

  /// A whole number within [lowest, highest]; required when `fallback` is absent.
  std::int64_t Integer(const std::string& field, std::int64_t lowest, std::int64_t highest,
                       std::optional<std::int64_t> fallback = std::nullopt);

  bool Boolean(const std::string& field, bool fallback);

  /// A duration text such as "250ms" within [lowest, highest], with a default.
  std::chrono::milliseconds Period(const std::string& field, std::chrono::milliseconds lowest,
                                   std::chrono::milliseconds highest,
                                   std::chrono::milliseconds fallback);

  /// An optional list of names.
  std::vector<std::string> Names(const std::string& field);

  /// An optional text of at most `most_bytes`.
  std::string Text(const std::string& field, std::size_t most_bytes);

  /// An optional list of whole numbers from 0 to `highest`.
  std::vector<std::uint32_t> Indices(const std::string& field, std::uint32_t highest);

  /// A required list of 1 to `most` objects, which live as long as this reader's object.
  std::vector<const nlohmann::json*> Objects(const std::string& field, std::size_t most);

  /// Records an error about `field` unless one was recorded before.
  void Fail(const std::string& field, std::string_view problem);

  /// OK when every field was read, none is left over and none was wrong.
  absl::Status Finish();

 private:
  const nlohmann::json* Find(const std::string& field);

  const nlohmann::json& object_;
  std::string path_;
  std::set<std::string> seen_;
  absl::Status status_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_DOCUMENT_H_
