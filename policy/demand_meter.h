/// Demand of one service at one entry instance, as the other instances are told.
#ifndef WIGEONLANE_POLICY_DEMAND_METER_H_
#define WIGEONLANE_POLICY_DEMAND_METER_H_

#include <chrono>
#include <cmath>
#include <cstdint>

#include "core/clock.h"

namespace wigeonlane {

/// Units of reported demand in one slot. Fractions matter: rounding up at every entry instance
/// would count a lightly loaded service several times.
inline constexpr std::uint32_t kDemandUnitsPerSlot = 100;

/// Smooths what runs and what waits with one half-life. Means and not peaks: peaks of random
/// arrivals would let every instance claim an equal share whatever it needs, while a queue that
/// stays counts in full within a second. Not safe for several threads.
template <RuntimeClock ClockT>
class DemandMeter {
 public:
  static constexpr std::chrono::duration<double> kHalfLife{0.3};

  explicit DemandMeter(const ClockT& clock) : clock_(clock), updated_at_(clock.Now()) {}

  /// Takes a look at the present numbers. Returns the demand in hundredths of a slot.
  std::uint32_t Update(std::uint32_t running, std::uint32_t waiting) {
    const Instant now = clock_.Now();
    const std::chrono::duration<double> elapsed = now - updated_at_;
    updated_at_ = now;
    const double retained_weight = std::exp2(-(elapsed / kHalfLife));
    mean_ = retained_weight * mean_ + (1 - retained_weight) * (running + waiting);
    return static_cast<std::uint32_t>(kDemandUnitsPerSlot * mean_);
  }

 private:
  const ClockT& clock_;
  Instant updated_at_;
  double mean_ = 0;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_POLICY_DEMAND_METER_H_
