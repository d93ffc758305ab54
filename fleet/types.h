/// Basic values of the fleet: urgency, lifecycle, offsets and what an instance is.
#ifndef WIGEONLANE_FLEET_TYPES_H_
#define WIGEONLANE_FLEET_TYPES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/settings.h"

namespace wigeonlane {

/// Position of a record on the platform's log, counted from 0.
using Offset = std::uint64_t;

/// Time stamped on a record by the platform, since the Unix epoch. The only time a fold knows.
using LogTime = std::chrono::milliseconds;

/// How much a request or job hurries. Ordered from least to most urgent.
enum class Urgency : std::uint8_t { kBulk, kNormal, kUrgent };

inline constexpr std::size_t kUrgencyLevels = 3;

std::string_view ToString(Urgency urgency);

/// Parses "bulk", "normal" or "urgent".
std::optional<Urgency> ParseUrgency(std::string_view text);

/// Where an instance stands. Only `kServing` instances receive new work.
enum class Lifecycle : std::uint8_t { kJoining, kServing, kDraining, kRebooting, kDown };

std::string_view ToString(Lifecycle lifecycle);

/// A worker with one runner, as the fold knows it.
struct Instance {
  std::string name;
  std::string pool;
  std::string rack;
  std::string data_centre;
  Endpoint runner;
  Lifecycle lifecycle = Lifecycle::kJoining;
  /// Grows by one with every accepted change; a record that names an older one is rejected.
  std::uint64_t generation = 1;
  /// Whether it is out of service on purpose, by a drain. Arrivals by a move are not.
  bool planned_out = false;
  /// Offset of the record that made the latest change.
  Offset changed = 0;
  /// Boots that the platform had counted when the latest reboot was decided.
  std::uint64_t boots = 0;
  /// The plan and version that last took it out for maintenance, such as "spring@2".
  std::string maintained;

  bool operator==(const Instance&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, pool, rack, data_centre, runner, lifecycle, generation, planned_out, changed,
            boots, maintained);
  }
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_FLEET_TYPES_H_
