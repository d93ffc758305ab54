/// Sizes that the platform's store accepts.
#ifndef WIGEONLANE_CELLS_STORE_LIMITS_H_
#define WIGEONLANE_CELLS_STORE_LIMITS_H_

#include <cstddef>
#include <optional>
#include <string>

namespace wigeonlane {

/// Limits of one keyed partition. A record is its key, the length of the key and its value; a call
/// also holds the length of each record.
struct StoreLimits {
  std::size_t record_bytes = 256 * 1024;
  std::size_t call_bytes = 2 * 1024 * 1024;

  static constexpr std::size_t kMaxKeyBytes = 255;
  static constexpr std::size_t kKeyLengthBytes = 1;
  static constexpr std::size_t kRecordLengthBytes = 4;

  static std::size_t RecordSize(const std::string& key, const std::optional<std::string>& value) {
    return kKeyLengthBytes + key.size() + (value ? value->size() : 0);
  }

  /// Returns whether the store can hold the record.
  bool Holds(const std::string& key, const std::optional<std::string>& value) const {
    const std::size_t size = RecordSize(key, value);
    return key.size() <= kMaxKeyBytes && size <= record_bytes &&
           size + kRecordLengthBytes <= call_bytes;
  }
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_STORE_LIMITS_H_
