/// Work that callers hand in per second, as a number of cores that would keep up with it.
///
/// Load pattern: a queue's demand rises from a twentieth of its mean to five times it within a
/// fraction of a second. What a pool has in use and what waits show that only seconds later, and a
/// machine that is asked for comes only when the demand has risen further.
#ifndef WIGEONLANE_SCHEDULING_ARRIVAL_METER_H_
#define WIGEONLANE_SCHEDULING_ARRIVAL_METER_H_

#include <algorithm>
#include <chrono>
#include <deque>
#include <utility>

#include "core/clock.h"

namespace wigeonlane {

class ArrivalMeter {
 public:
  /// Long enough for some jobs of a queue that hands in few large ones, short against a turn (9 s).
  static constexpr std::chrono::milliseconds kWindow{1'000};

  /// Half windows that a rise is taken to go on for; a move takes three (MigrateS 1.5 s).
  static constexpr double kForecastHalfWindows = 3;
  /// Of the latter half's work: a rate three times as high is expected at most (docs/DESIGN.md).
  static constexpr double kMaxRiseFactor = 6;

  /// A job of this much work, in core-seconds, was accepted.
  void RecordArrival(double work, Instant now) {
    while (!arrivals_.empty() && now - arrivals_.front().first >= kWindow) arrivals_.pop_front();
    arrivals_.emplace_back(now, work);
  }

  /// The rate to be expected when a machine that is asked for now has come: the mean over the
  /// window, or more where the rate rises.
  double ExpectedCores(Instant now) const {
    double former = 0;
    double latter = 0;
    for (const auto& [time, work] : arrivals_) {
      const Duration age = now - time;
      if (age < kWindow) (age < kWindow / 2 ? latter : former) += work;
    }
    const double mean = former + latter;
    const double expected = 2 * (latter + kForecastHalfWindows * (latter - former));
    const double seconds = std::chrono::duration<double>(kWindow).count();
    return std::max(mean, std::min(expected, kMaxRiseFactor * latter)) / seconds;
  }

 private:
  std::deque<std::pair<Instant, double>> arrivals_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_ARRIVAL_METER_H_
