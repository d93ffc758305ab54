/// Throttles best-effort tasks while serving tasks on the same runner approach or exceed their
/// tail-latency target.
///
/// Load pattern: best-effort tasks, which use idle processor time, slow down serving tasks on the
/// same runner by amounts that change within seconds. The pace is cut at once when the tail latency
/// nears its target and rises slowly, so that the target is exceeded for far less than the
/// platform's impact time.
#ifndef WIGEONLANE_SCHEDULING_PACE_CONTROL_H_
#define WIGEONLANE_SCHEDULING_PACE_CONTROL_H_

#include <algorithm>
#include <cstdint>

namespace wigeonlane {

/// Controller of the pace of best-effort tasks on one runner, in percent of full speed.
class PaceControl {
 public:
  static constexpr std::uint32_t kFullPercent = 100;
  /// The pace rises while the tail latency is below this share of its target.
  static constexpr double kSpeedUpBelow = 0.6;
  /// The pace is halved when the tail latency reaches this share of its target.
  static constexpr double kSlowDownAbove = 0.85;
  static constexpr std::uint32_t kStepUpPercent = 15;
  /// A lower pace does hardly any work and still slows down serving tasks, so it becomes zero.
  static constexpr std::uint32_t kMinPercent = 10;

  /// Updates the pace. `worst_ratio` is the highest ratio of tail latency to its target among the
  /// serving tasks of the runner; zero if it has none. Returns the new pace in percent.
  std::uint32_t Update(double worst_ratio) {
    if (worst_ratio >= 1.0) {
      percent_ = 0;
    } else if (worst_ratio >= kSlowDownAbove) {
      percent_ /= 2;
      if (percent_ < kMinPercent) percent_ = 0;
    } else if (worst_ratio < kSpeedUpBelow) {
      percent_ = std::min(kFullPercent, percent_ + kStepUpPercent);
    }
    return percent_;
  }

  std::uint32_t percent() const { return percent_; }

 private:
  std::uint32_t percent_ = kFullPercent;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_PACE_CONTROL_H_
