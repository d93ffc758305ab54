/// Limits the appends of one entry instance to the platform's log, so that all instances together
/// stay within the rate that the log accepts and order claims and control records do not starve
/// each other.
#ifndef WIGEONLANE_POLICY_APPEND_BUDGET_H_
#define WIGEONLANE_POLICY_APPEND_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "core/clock.h"

namespace wigeonlane {

/// Token bucket whose rate is the budget of the fleet divided by the number of live entry
/// instances. Not thread-safe.
template <RuntimeClock ClockT>
class AppendBudget {
 public:
  /// Maximum number of appends in a burst after an idle period.
  static constexpr double kMaxBurst = 4.0;

  /// `per_second` is the append budget of all entry instances together.
  AppendBudget(double per_second, const ClockT& clock)
      : appends_per_second_(per_second), clock_(clock), refilled_at_(clock.Now()) {}

  /// Takes the token for one append and returns zero, or returns how long to wait before the next
  /// try. `members` is the number of live entry instances, including this one.
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
