/// Basic types of the fleet: urgency, lifecycle, offsets and instances.
#ifndef WIGEONLANE_FLEET_TYPES_H_
#define WIGEONLANE_FLEET_TYPES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/settings.h"

namespace wigeonlane {

/// Position of a record on the platform's log; the first record has offset 0.
using Offset = std::uint64_t;

/// Time since the Unix epoch at which the platform stored a record. The fold uses no other clock.
using LogTime = std::chrono::milliseconds;

/// Urgency of a request or job, ordered from least to most urgent.
enum class Urgency : std::uint8_t { kBulk, kNormal, kUrgent };

inline constexpr std::size_t kUrgencyLevels = 3;

std::string_view ToString(Urgency urgency);

/// Parses "bulk", "normal" or "urgent".
std::optional<Urgency> ParseUrgency(std::string_view text);

/// Lifecycle stage of an instance. Only `kServing` instances receive new requests.
enum class Lifecycle : std::uint8_t { kJoining, kServing, kDraining, kRebooting, kDown };

std::string_view ToString(Lifecycle lifecycle);

/// A worker with one runner, as recorded in the folded state.
struct Instance {
  std::string name;
  std::string pool;
  std::string rack;
  std::string data_centre;
  Endpoint runner;
  Lifecycle lifecycle = Lifecycle::kJoining;
  /// Increases by one with every accepted change; a record with an older generation is rejected.
  std::uint64_t generation = 1;
  /// Whether a drain took the instance out of service on purpose. A move does not set it.
  bool planned_out = false;
  /// Offset of the record of the latest change.
  Offset changed_offset = 0;
  /// Number of boots that the platform listed when the latest reboot was decided.
  std::uint64_t boots = 0;
  /// Plan and version of the latest maintenance of the instance, such as "spring@2".
  std::string maintained;

  bool operator==(const Instance&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, pool, rack, data_centre, runner, lifecycle, generation, planned_out,
            changed_offset, boots, maintained);
  }
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_FLEET_TYPES_H_
