/// Pace of periodic control work, so that it never takes more than its share of a core.
#ifndef WIGEONLANE_CORE_PACING_H_
#define WIGEONLANE_CORE_PACING_H_

#include <algorithm>

#include "core/clock.h"

namespace wigeonlane {

/// Share of one core that one kind of periodic work may take.
inline constexpr double kMaxControlCpuShare = 0.007;

/// The pause after a round that took `spent`: at least `shortest`, and long enough that rounds
/// like it take no more than `kMaxControlCpuShare` of a core.
inline Duration DelayAfterRound(Duration spent, Duration shortest) {
  const auto needed = Duration(
      static_cast<Duration::rep>(static_cast<double>(spent.count()) / kMaxControlCpuShare));
  return std::max(shortest, needed);
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_PACING_H_
