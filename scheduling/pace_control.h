/// Slows filling tasks down while a serving task beside them is over its response-time target.
///
/// Load pattern: tasks that fill idle processor time disturb serving tasks on the same runner by
/// amounts that change within seconds. The share falls at once when the tail nears the target and
/// rises slowly, so that the target is passed for far less than the platform's impact time.
#ifndef WIGEONLANE_SCHEDULING_PACE_CONTROL_H_
#define WIGEONLANE_SCHEDULING_PACE_CONTROL_H_

#include <algorithm>
#include <cstdint>

namespace wigeonlane {

class PaceControl {
 public:
  static constexpr std::uint32_t kFullPercent = 100;
  /// Below this share of the target there is room for more.
  static constexpr double kSpeedUpBelow = 0.6;
  /// Above this share of the target fillers give way.
  static constexpr double kSlowDownAbove = 0.85;
  static constexpr std::uint32_t kStepUpPercent = 15;
  /// Paces below this do hardly any work and still disturb.
  static constexpr std::uint32_t kMinPercent = 10;

  /// `worst` is the highest tail divided by its target among the serving tasks of the runner;
  /// zero when it has none. Returns the percentage at which fillers may work.
  std::uint32_t Update(double worst) {
    if (worst >= 1.0) {
      percent_ = 0;
    } else if (worst >= kSlowDownAbove) {
      percent_ /= 2;
      if (percent_ < kMinPercent) percent_ = 0;
    } else if (worst < kSpeedUpBelow) {
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
