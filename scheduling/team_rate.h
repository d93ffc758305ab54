/// Tells which jobs of a team are within the rate that it may submit, at one of several cells.
///
/// Load pattern: one team submits many times its usual for some seconds, spread over all services.
/// Each cell sees only a part of that, so the rate is divided by what arrives at each cell. Before
/// a cell knows the total it allows the whole rate: a job within the rate must not be refused.
#ifndef WIGEONLANE_SCHEDULING_TEAM_RATE_H_
#define WIGEONLANE_SCHEDULING_TEAM_RATE_H_

#include <algorithm>
#include <chrono>
#include <deque>

#include "core/clock.h"

namespace wigeonlane {

/// Token bucket of one team in one cell.
class TeamRate {
 public:
  /// Arrivals are counted over this time.
  static constexpr std::chrono::milliseconds kWindow{1'000};
  /// Time after which a total that was reported is out of date.
  static constexpr std::chrono::milliseconds kMaxTotalAge{1'500};

  /// Sets the team's rate in jobs per second, over all cells.
  void SetRate(double jobs_per_second) { rate_ = jobs_per_second; }

  /// Sets the arrivals per second at all cells, as known at `now`.
  void SetTotalArrivals(double jobs_per_second, Instant now) {
    total_ = jobs_per_second;
    total_at_ = now;
  }

  /// Records that a job arrived. Returns whether it is within the rate.
  bool Admit(Instant now) {
    RemoveOldArrivals(now);
    arrivals_.push_back(now);
    const double rate = CellRate(now);
    if (last_refill_ != Instant{}) {
      tokens_ += rate * std::chrono::duration<double>(now - last_refill_).count();
    } else {
      tokens_ = Burst(rate);
    }
    last_refill_ = now;
    tokens_ = std::min(tokens_, Burst(rate));
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

  /// Arrivals per second at this cell.
  double Arrivals(Instant now) const {
    const auto recent = std::count_if(arrivals_.begin(), arrivals_.end(),
                                      [&](Instant at) { return now - at < kWindow; });
    return static_cast<double>(recent) / std::chrono::duration<double>(kWindow).count();
  }

 private:
  /// What may come at once: the rate of one second, at least one job.
  static double Burst(double rate) {
    return std::max(rate * std::chrono::duration<double>(kWindow).count(), 1.0);
  }

  /// The rate that this cell allows: its part while the team submits more than its rate. Otherwise
  /// the whole rate, since jobs within it may happen to arrive at one cell.
  double CellRate(Instant now) const {
    const double own = Arrivals(now);
    const bool total_known = now - total_at_ <= kMaxTotalAge;
    if (!total_known || total_ <= rate_ || total_ <= own) return rate_;
    return rate_ * own / total_;
  }

  void RemoveOldArrivals(Instant now) {
    while (!arrivals_.empty() && now - arrivals_.front() >= kWindow) arrivals_.pop_front();
  }

  double rate_ = 0;
  double tokens_ = 0;
  Instant last_refill_{};
  double total_ = 0;
  Instant total_at_{};
  std::deque<Instant> arrivals_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_TEAM_RATE_H_
