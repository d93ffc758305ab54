/// Appends to the platform's log that one entry instance may make, so that all together stay
/// within what the log takes and neither claims nor control starve the other.
#ifndef WIGEONLANE_POLICY_APPEND_BUDGET_H_
#define WIGEONLANE_POLICY_APPEND_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "core/clock.h"

namespace wigeonlane {

/// A token bucket whose rate is the fleet's budget divided by the live entry instances. Not safe
/// for several threads.
template <RuntimeClock ClockT>
class AppendBudget {
 public:
  /// Appends that may follow each other at once after a quiet time.
  static constexpr double kMaxBurst = 4.0;

  /// `per_second` is the budget of all entry instances together.
  AppendBudget(double per_second, const ClockT& clock)
      : appends_per_second_(per_second), clock_(clock), refilled_at_(clock.Now()) {}

  /// Takes one append, or returns how long to wait before asking again. `members` counts the live
  /// entry instances, this one included.
  Duration Take(std::size_t members) {
    const double rate =
        appends_per_second_ / static_cast<double>(std::max<std::size_t>(1, members));
    const Instant now = clock_.Now();
    const std::chrono::duration<double> elapsed = now - refilled_at_;
    refilled_at_ = now;
    tokens_ = std::min(kMaxBurst, tokens_ + elapsed.count() * rate);
    if (tokens_ >= 1.0) {
      tokens_ -= 1.0;
      return Duration(0);
    }
    const std::chrono::duration<double> wait((1.0 - tokens_) / rate);
    return std::chrono::duration_cast<Duration>(wait);
  }

 private:
  const double appends_per_second_;
  const ClockT& clock_;
  Instant refilled_at_;
  double tokens_ = kMaxBurst;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_POLICY_APPEND_BUDGET_H_
