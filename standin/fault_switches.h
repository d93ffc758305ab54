/// Faults that a test or an operator enables in a stand-in over HTTP.
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

/// Faults by name, each with a number; 0 disables the fault. Safe for several threads.
class FaultSwitches {
 public:
  explicit FaultSwitches(std::map<std::string, std::int64_t> initial_values)
      : values_(std::move(initial_values)) {}

  /// Sets every switch named in a JSON object such as {"down": 1}. Errors: InvalidArgument for an
  /// unknown name or a value that is not a whole number; no switch is changed in that case.
  absl::Status SetFromJson(std::string_view json_text);

  /// Returns the switch's value. `name` must be one of the declared switches.
  std::int64_t Value(const std::string& name) const;

  bool IsOn(const std::string& name) const { return Value(name) != 0; }

  /// Decrements a switch that counts faults; returns false if it is 0.
  bool Consume(const std::string& name);

  /// Sleeps for the switch's value in milliseconds.
  void Delay(const std::string& name) const;

  /// Returns all switches and their values as a JSON object.
  std::string ToJson() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::int64_t> values_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_FAULT_SWITCHES_H_
