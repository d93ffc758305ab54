/// Faults that a test or operator switches on in a stand-in over HTTP.
#ifndef WIGEONLANE_STANDIN_FAULT_SWITCHES_H_
#define WIGEONLANE_STANDIN_FAULT_SWITCHES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace wigeonlane {

/// Named numbers, all 0 at the start. Safe for several threads.
class FaultSwitches {
 public:
  explicit FaultSwitches(std::map<std::string, std::int64_t> declared)
      : values_(std::move(declared)) {}

  /// Sets every switch named in a JSON object such as {"down": 1}. Errors: InvalidArgument for an
  /// unknown name or a value that is not a whole number; nothing is changed then.
  absl::Status SetFromJson(std::string_view json_text);

  std::int64_t Value(const std::string& name) const;

  bool On(const std::string& name) const { return Value(name) != 0; }

  /// Takes one from a counting switch; false when it is 0.
  bool Consume(const std::string& name);

  /// Sleeps as many milliseconds as the switch says.
  void Delay(const std::string& name) const;

  std::string ToJson() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::int64_t> values_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_FAULT_SWITCHES_H_
