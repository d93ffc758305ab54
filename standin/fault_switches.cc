#include "standin/fault_switches.h"

#include <nlohmann/json.hpp>
#include <thread>

#include "core/document.h"
#include "core/text.h"

namespace wigeonlane {

absl::Status FaultSwitches::SetFromJson(std::string_view json_text) {
  const auto json = ParseJson(json_text);
  if (!json.ok()) return json.status();
  if (!json->is_object()) return absl::InvalidArgumentError("faults: not a JSON object");
  const std::lock_guard lock(mutex_);
  for (const auto& [name, value] : json->items()) {
    if (!values_.contains(name) || !value.is_number_integer()) {
      return absl::InvalidArgumentError(Concat("faults.", name, ": unknown or not a number"));
    }
  }
  for (const auto& [name, value] : json->items()) values_[name] = value.get<std::int64_t>();
  return absl::OkStatus();
}

std::int64_t FaultSwitches::Value(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  return values_.at(name);
}

bool FaultSwitches::Consume(const std::string& name) {
  const std::lock_guard lock(mutex_);
  std::int64_t& value = values_.at(name);
  if (value <= 0) return false;
  --value;
  return true;
}

void FaultSwitches::Delay(const std::string& name) const {
  std::this_thread::sleep_for(std::chrono::milliseconds(Value(name)));
}

std::string FaultSwitches::ToJson() const {
  const std::lock_guard lock(mutex_);
  return nlohmann::json(values_).dump();
}

}  // namespace wigeonlane
