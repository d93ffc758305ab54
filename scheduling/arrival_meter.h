/// Estimates how many cores are needed to keep up with the work that callers submit.
///
/// Load pattern: a queue's demand rises from a twentieth of its mean to five times its mean within
/// a fraction of a second. Utilization and backlog of the pool show the rise only seconds later,
/// and a machine requested then arrives after the demand has risen further.
#ifndef WIGEONLANE_SCHEDULING_ARRIVAL_METER_H_
#define WIGEONLANE_SCHEDULING_ARRIVAL_METER_H_

#include <algorithm>
#include <chrono>
#include <deque>
#include <utility>

#include "core/clock.h"

namespace wigeonlane {

/// Sliding window over the work of accepted jobs.
class ArrivalMeter {
 public:
  /// Long enough to contain several jobs of a queue that submits few large jobs; short compared
  /// with a demand peak (9 s).
  static constexpr std::chrono::milliseconds kWindow{1'000};

  /// Number of half windows for which a rise is extrapolated: the time that a machine needs to
  /// change pools (MigrateS 1.5 s).
  static constexpr double kForecastHalfWindows = 3;
  /// Upper bound of the forecast, as a multiple of the work in the later half window. A half window
  /// of work at a constant rate is half of a window's work, so 6 allows three times the current
  /// rate (docs/DESIGN.md).
  static constexpr double kMaxRiseFactor = 6;

  /// Records that a job of `work` estimated core-seconds was accepted.
  void RecordArrival(double work, Instant now) {
    while (!arrivals_.empty() && now - arrivals_.front().first >= kWindow) arrivals_.pop_front();
    arrivals_.emplace_back(now, work);
  }

  /// Forecasts the rate of work at the time when a machine requested now would arrive: the mean
  /// over the window, or more if the rate is rising.
  double ExpectedCores(Instant now) const {
    double earlier_half = 0;
    double later_half = 0;
    for (const auto& [accepted_at, core_seconds] : arrivals_) {
      const Duration age = now - accepted_at;
      if (age < kWindow) (age < kWindow / 2 ? later_half : earlier_half) += core_seconds;
    }
    const double mean = earlier_half + later_half;
    const double forecast = 2 * (later_half + kForecastHalfWindows * (later_half - earlier_half));
    const double seconds = std::chrono::duration<double>(kWindow).count();
    return std::max(mean, std::min(forecast, kMaxRiseFactor * later_half)) / seconds;
  }

 private:
  std::deque<std::pair<Instant, double>> arrivals_;  ///< Acceptance time and core-seconds.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_ARRIVAL_METER_H_
