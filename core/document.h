/// Strict parsing of JSON documents. Every error is one line that starts with the path of the
/// field.
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

/// Maximum size of a document.
inline constexpr std::size_t kMaxDocumentBytes = 1024 * 1024;

/// Parses `text` as one JSON value. Errors: InvalidArgument when `text` is not valid JSON or
/// exceeds `kMaxDocumentBytes`.
absl::StatusOr<nlohmann::json> ParseJson(std::string_view text);

/// Reads the fields of one JSON object. The reader keeps the first error and returns a default for
/// each invalid field, so that a parse function reads all its fields and calls `Finish` once.
class DocumentReader {
 public:
  /// `object` must outlive the reader. `path` is the prefix of field names in errors.
  DocumentReader(const nlohmann::json& object, std::string path);

  /// Reads a required string of 1 to 128 characters from `[A-Za-z0-9._-]`.
  std::string Name(const std::string& field);

  /// Reads an optional string, which must be one of `allowed`.
  std::string Choice(const std::string& field, std::initializer_list<std::string_view> allowed,
                     std::string_view fallback);

  /// Reads an integer within [lowest, highest]. The field is required when `fallback` is absent.
  std::int64_t Integer(const std::string& field, std::int64_t lowest, std::int64_t highest,
                       std::optional<std::int64_t> fallback = std::nullopt);

  /// Reads an optional boolean.
  bool Boolean(const std::string& field, bool fallback);

  /// Reads an optional duration string such as "250ms" within [lowest, highest].
  std::chrono::milliseconds Period(const std::string& field, std::chrono::milliseconds lowest,
                                   std::chrono::milliseconds highest,
                                   std::chrono::milliseconds fallback);

  /// Reads an optional list of names, each as `Name` allows it.
  std::vector<std::string> Names(const std::string& field);

  /// Reads an optional string of at most `max_bytes`.
  std::string Text(const std::string& field, std::size_t max_bytes);

  /// Reads an optional list of integers from 0 to `highest`.
  std::vector<std::uint32_t> Indices(const std::string& field, std::uint32_t highest);

  /// Reads a required list of 1 to `max_count` objects. The pointers are valid as long as the
  /// object of this reader.
  std::vector<const nlohmann::json*> Objects(const std::string& field, std::size_t max_count);

  /// Records an error about `field` unless one was recorded before.
  void Fail(const std::string& field, std::string_view problem);

  /// Returns the first error, or an error when the object has a field that was not read.
  absl::Status Finish();

 private:
  const nlohmann::json* Find(const std::string& field);

  const nlohmann::json& object_;
  std::string path_;
  std::set<std::string> read_fields_;
  absl::Status status_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_DOCUMENT_H_
