/// Work that callers hand in per second, as a number of cores that would keep up with it.
///
/// Load pattern: a queue's demand rises from a twentieth of its mean to five times it within a
/// fraction of a second. What a pool has in use and what waits show that only seconds later.
#ifndef WIGEONLANE_SCHEDULING_ARRIVAL_METER_H_
#define WIGEONLANE_SCHEDULING_ARRIVAL_METER_H_

#include <chrono>
#include <deque>
#include <utility>

#include "core/clock.h"

namespace wigeonlane {

class ArrivalMeter {
 public:
  /// Long enough for some jobs of a queue that hands in few large ones, short against a turn (9 s).
  static constexpr std::chrono::milliseconds kWindow{1'000};

  /// A job of this much work, in core-seconds, was accepted.
  void Note(double work, Instant now) {
    Drop(now);
    arrivals_.emplace_back(now, work);
    sum_ += work;
  }

  /// Mean over the window.
  double Cores(Instant now) const {
    double sum = sum_;
    for (const auto& [time, work] : arrivals_) {
      if (now - time <= kWindow) break;
      sum -= work;
    }
    return sum / std::chrono::duration<double>(kWindow).count();
  }

 private:
  void Drop(Instant now) {
    while (!arrivals_.empty() && now - arrivals_.front().first > kWindow) {
      sum_ -= arrivals_.front().second;
      arrivals_.pop_front();
    }
    if (arrivals_.empty()) sum_ = 0;  // Leaves no rounding behind.
  }

  std::deque<std::pair<Instant, double>> arrivals_;
  double sum_ = 0;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_ARRIVAL_METER_H_
