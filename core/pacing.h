/// Limits the share of a processor core that periodic control work uses.
#ifndef WIGEONLANE_CORE_PACING_H_
#define WIGEONLANE_CORE_PACING_H_

#include <algorithm>

#include "core/clock.h"

namespace wigeonlane {

/// Maximum share of one core that one kind of periodic work may use.
inline constexpr double kMaxControlCpuShare = 0.007;

/// Returns the delay before the next round after one that took `round_time`. The delay is at least
/// `min_delay` and long enough that such rounds use at most `kMaxControlCpuShare` of a core.
inline Duration DelayAfterRound(Duration round_time, Duration min_delay) {
  const auto delay = Duration(
      static_cast<Duration::rep>(static_cast<double>(round_time.count()) / kMaxControlCpuShare));
  return std::max(min_delay, delay);
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_PACING_H_
